use core::time;

/// The `[limits]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Upper bound of a request body in bytes.
    pub body_max: u64,
    /// Upper bound of all headers of a request in bytes.
    pub header_max: u64,
    /// Upper bound of queued requests per shard.
    pub queue_max: usize,
    /// Longest silence of a caller while it sends its request.
    pub idle_timeout: time::Duration,
    /// Longest graceful shutdown.
    pub shutdown_max: time::Duration,
}
