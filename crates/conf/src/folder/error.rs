use std::error;
use std::fmt;
use std::io;
use std::path;

/// Reason that a settings folder could not be read; each variant holds the path.
#[derive(Debug)]
pub enum Error {
    /// The folder could not be listed.
    Folder(path::PathBuf, io::Error),
    /// A file could not be read.
    File(path::PathBuf, io::Error),
    /// A file or its name is not UTF-8.
    Encoding(path::PathBuf),
    /// The folder has no `*.ini` file.
    Empty(path::PathBuf),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Folder(path, cause) => {
                write!(f, "cannot list settings folder {}: {cause}", path.display())
            }
            Self::File(path, cause) => {
                write!(f, "cannot read settings file {}: {cause}", path.display())
            }
            Self::Encoding(path) => {
                write!(
                    f,
                    "settings file {} or its name is not UTF-8",
                    path.display()
                )
            }
            Self::Empty(path) => write!(f, "settings folder {} has no *.ini file", path.display()),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Folder(_, cause) | Self::File(_, cause) => Some(cause),
            Self::Encoding(_) | Self::Empty(_) => None,
        }
    }
}
