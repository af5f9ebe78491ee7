use core::time;

/// Record of a request that took effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    /// Value of the header `Idempotency-Key`, if present.
    pub key: Option<String>,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: String,
    /// Time of the effect, relative to the start of the service.
    pub at: time::Duration,
}
