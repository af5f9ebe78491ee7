use core::time;

/// An answer for a caller.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers from the endpoint that are passed on.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: crate::Body,
    /// Class that the request was given.
    pub class: String,
    /// Time spent queued.
    pub queued: time::Duration,
}
