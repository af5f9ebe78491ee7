use std::fmt;

/// Why a request to an endpoint failed.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened, so that no byte of the request was sent.
    /// A request to another endpoint cannot run the work twice.
    NotSent(String),
    /// The request may have reached the endpoint and may have run there.
    MayHaveRun(String),
    /// The load report of the endpoint is not valid.
    Invalid(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "cannot connect to the endpoint: {cause}"),
            Self::MayHaveRun(cause) => write!(f, "request to the endpoint failed: {cause}"),
            Self::Invalid(cause) => write!(f, "the endpoint sent no valid load report: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
