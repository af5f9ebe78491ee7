use std::fmt;

/// Why a request to an endpoint failed.
#[derive(Debug)]
pub enum Error {
    /// No connection could be made; no byte of the request was sent.
    NotSent(String),
    /// The request may have reached the endpoint.
    MayHaveRun(String),
    /// The endpoint's answer is not valid.
    Invalid(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "connection failed: {cause}"),
            Self::MayHaveRun(cause) => write!(f, "request failed: {cause}"),
            Self::Invalid(cause) => write!(f, "invalid answer: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
