use std::fmt;

/// Failure to read the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Error {
    /// The list of addresses is empty.
    NoAddress,
    /// The connection could not be made.
    Connect,
    /// No complete answer arrived in time.
    Timeout,
    /// The connection broke.
    Broken,
    /// The answer has this HTTP status, which is not a success.
    Status(u16),
    /// The answer exceeds a limit: 2 MiB of JSON, or for a configuration 1 MiB of
    /// files or the limits on files and names in [`wire::limit`].
    TooLarge,
    /// The answer lacks a body or the body is not the expected JSON.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("no address of the platform is configured"),
            Self::Connect => f.write_str("cannot connect to the platform"),
            Self::Timeout => f.write_str("the platform did not answer in time"),
            Self::Broken => f.write_str("the connection to the platform broke"),
            Self::Status(status) => write!(f, "the platform answered with status {status}"),
            Self::TooLarge => f.write_str("the answer of the platform is too large"),
            Self::Malformed => f.write_str("the answer of the platform is malformed"),
        }
    }
}

impl std::error::Error for Error {}
