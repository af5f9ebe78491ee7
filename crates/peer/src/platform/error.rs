use std::fmt;

/// Why the platform could not be read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Error {
    /// The settings name no address.
    NoAddress,
    /// The connection could not be made.
    Connect,
    /// There was no whole answer in time.
    Timeout,
    /// The connection broke.
    Broken,
    /// The answer has this HTTP status.
    Status(u16),
    /// The answer is above the bound of 1 MiB.
    TooLarge,
    /// The answer is not what was asked for.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("the platform has no address"),
            Self::Connect => f.write_str("cannot connect to the platform"),
            Self::Timeout => f.write_str("the platform does not answer in time"),
            Self::Broken => f.write_str("the connection to the platform broke"),
            Self::Status(status) => write!(f, "the platform answers with status {status}"),
            Self::TooLarge => f.write_str("the answer of the platform is too large"),
            Self::Malformed => f.write_str("the answer of the platform is malformed"),
        }
    }
}

impl std::error::Error for Error {}
