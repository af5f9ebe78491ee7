use std::fmt;

use crate::cause;

/// Failure of a call to another host.
///
/// The variant decides whether the call may be made again elsewhere.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Error {
    /// No byte of the call was handed to a connection; the other host has not
    /// processed it and never will.
    NotSent(cause::Cause),
    /// The call may have been sent and processed; its outcome is unknown.
    Lost(cause::Cause),
}

impl Error {
    /// Returns why the call failed.
    pub const fn cause(self) -> cause::Cause {
        match self {
            Self::NotSent(cause) | Self::Lost(cause) => cause,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "the call was not sent: {cause}"),
            Self::Lost(cause) => write!(f, "the outcome of the call is unknown: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
