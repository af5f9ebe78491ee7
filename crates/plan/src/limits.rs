use core::time;

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Limits {
    /// Largest size of a request head in bytes; 16 KiB by default.
    pub header_bytes: u64,
    /// Largest size of a request body in bytes; 4 MiB by default.
    pub body_bytes: u64,
    /// Longest time to receive a request head; 3 s by default.
    pub header_timeout: time::Duration,
    /// Longest time for which a connection without a request is kept open; 15 s
    /// by default.
    pub idle_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}
