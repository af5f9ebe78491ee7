use core::time;

/// One effect of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: String,
    /// Time of the effect since the start of the service.
    pub at: time::Duration,
}
