use core::time;

use crate::tls;

/// Limits of the caller interface and its certificate.
#[derive(Clone, Debug)]
pub struct Options {
    /// Upper bound of a request body in bytes.
    pub body_max: u64,
    /// Upper bound of all headers of a request in bytes.
    pub header_max: u64,
    /// Longest silence of a caller while it sends its request.
    pub idle_timeout: time::Duration,
    /// Certificate and key; without them the listener speaks plain HTTP.
    pub tls: Option<tls::Options>,
}

impl Default for Options {
    /// Returns the defaults of the settings, without a certificate.
    fn default() -> Self {
        Self {
            body_max: 4 * 1024 * 1024,
            header_max: 32 * 1024,
            idle_timeout: time::Duration::from_secs(10),
            tls: None,
        }
    }
}
