use core::time;

/// Response that a [`Service`](crate::Service) returns for a caller.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers of the endpoint's response that are forwarded to the caller.
    pub headers: http::HeaderMap,
    /// Body, which may be a stream.
    pub body: crate::Body,
    /// Name of the class of the request, sent as `x-class`.
    pub class: String,
    /// Time that the request was queued, sent as `x-queue-ms`.
    pub queue_time: time::Duration,
}
