use core::time;

/// Bounds of what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Limits {
    /// Bytes of a request head.
    pub header_bytes: u64,
    /// Bytes of a request body.
    pub body_bytes: u64,
    /// Longest time for a request head.
    pub header_timeout: time::Duration,
    /// Longest time for which a connection without a request is kept.
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
