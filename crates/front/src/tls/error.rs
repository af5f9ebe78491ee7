use std::fmt;
use std::io;
use std::path;

/// Reason for which a certificate cannot be used.
#[derive(Debug)]
pub enum Error {
    /// A file cannot be read.
    Read(path::PathBuf, io::Error),
    /// The content of a file is not valid.
    Content(path::PathBuf, String),
    /// The certificate and the key cannot be used together.
    Pair(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, cause) => write!(f, "cannot read {}: {cause}", path.display()),
            Self::Content(path, cause) => {
                write!(f, "invalid content in {}: {cause}", path.display())
            }
            Self::Pair(cause) => {
                write!(
                    f,
                    "the certificate and the key cannot be used together: {cause}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}
