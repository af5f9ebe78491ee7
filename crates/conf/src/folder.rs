//! Reading of settings files from a folder.

mod error;

use std::fs;
use std::path;

use crate::file;

pub use error::Error;

/// Extension of settings files.
const EXTENSION: &str = "ini";

/// Reads every `*.ini` file directly in a folder and returns the files in the byte
/// order of their names. Hidden files and other extensions are skipped.
///
/// # Errors
///
/// Returns an error if the folder or a file cannot be read, if a file or its name
/// is not UTF-8, or if the folder has no such file.
pub fn read(path: &path::Path) -> Result<Vec<file::File>, Error> {
    let unreadable = |cause| Error::Folder(path.to_owned(), cause);
    let entries = fs::read_dir(path).map_err(unreadable)?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(unreadable)?.path();
        if is_settings(&path) {
            files.push(read_file(&path)?);
        }
    }
    if files.is_empty() {
        return Err(Error::Empty(path.to_owned()));
    }
    files.sort_unstable();
    Ok(files)
}

fn is_settings(path: &path::Path) -> bool {
    let is_hidden = path
        .file_name()
        .is_some_and(|name| name.as_encoded_bytes().starts_with(b"."));
    !is_hidden
        && path
            .extension()
            .is_some_and(|extension| extension == EXTENSION)
}

fn read_file(path: &path::Path) -> Result<file::File, Error> {
    let name = path.file_name().and_then(|name| name.to_str());
    let name = name.ok_or_else(|| Error::Encoding(path.to_owned()))?;
    let bytes = fs::read(path).map_err(|cause| Error::File(path.to_owned(), cause))?;
    let text = String::from_utf8(bytes).map_err(|_| Error::Encoding(path.to_owned()))?;
    Ok(file::File::new(name, text))
}
