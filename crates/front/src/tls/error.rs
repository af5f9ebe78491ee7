use std::fmt;
use std::io;
use std::path;

/// Why a certificate cannot be used.
#[derive(Debug)]
pub enum Error {
    /// A file cannot be read.
    Read(path::PathBuf, io::Error),
    /// A file does not hold what it should.
    Content(path::PathBuf, String),
    /// The certificate and the key cannot be used together.
    Pair(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, cause) => write!(f, "cannot read {}: {cause}", path.display()),
            Self::Content(path, cause) => write!(f, "{}: {cause}", path.display()),
            Self::Pair(cause) => write!(f, "certificate and key cannot be used: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
