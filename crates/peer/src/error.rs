use std::fmt;

use crate::cause;

/// Failure of a call to another host.
///
/// The variant states whether a call that must not run twice may be repeated at
/// another host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Error {
    /// No byte of the call was passed to a connection: the other host has not
    /// processed the call and never will.
    NotSent(cause::Cause),
    /// The call may have been sent and processed: its outcome is unknown.
    Lost(cause::Cause),
}

impl Error {
    /// Returns the reason for the failure.
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
