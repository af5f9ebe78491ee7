use core::time;

/// The `[limits]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_max: u64,
    /// Maximum total size of the headers of a request in bytes.
    pub header_max: u64,
    /// Maximum memory that callers can fill in bytes; `None` derives it from the memory of
    /// the machine.
    pub memory_max: Option<u64>,
    /// Maximum number of queued requests per shard.
    pub queue_max: usize,
    /// Maximum pause of a caller while it sends its request.
    pub idle_timeout: time::Duration,
    /// Maximum duration of a graceful shutdown; streams still open after it are cut
    /// off.
    pub shutdown_max: time::Duration,
}
