//! What counts as the response to a request.
//!
//! The HTTP library refuses malformed and unfinished heads, unfinished bodies of a declared
//! length, and connections that fail. It leaves to its users that a response has a final
//! status; see [`check`].

use core::fmt;

/// The status of a response is not a final one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error(http::StatusCode);

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} is not a final status", self.0.as_u16())
    }
}

impl std::error::Error for Error {}

/// Checks that a response has a final status, which is from 200 to 599 (RFC 9110,
/// section 15). An interim one answers nothing, also 101, because the router never asks for
/// another protocol.
///
/// # Errors
///
/// Fails for any other status; whether the request ran is not known.
pub fn check<B>(response: &http::Response<B>) -> Result<(), Error> {
    match response.status().as_u16() {
        200..=599 => Ok(()),
        _ => Err(Error(response.status())),
    }
}
