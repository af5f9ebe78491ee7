use core::time;

/// An answer for a caller.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers from the endpoint that are passed on.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: crate::Body,
    /// Class that the request was given.
    pub class: String,
    /// Time spent queued.
    pub queue_time: time::Duration,
}
