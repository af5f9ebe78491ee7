use core::time;

use crate::tls;

/// Limits of the caller interface and its certificate.
#[derive(Clone, Debug)]
pub struct Options {
    /// Upper bound of a request body in bytes.
    pub body_bytes_max: u64,
    /// Upper bound of all headers of a request in bytes.
    pub header_bytes_max: u64,
    /// Longest silence of a caller while it sends its request, and longest
    /// time for the head of the first request of a connection.
    pub idle_timeout: time::Duration,
    /// Longest time for a whole request body, however often bytes arrive.
    pub body_timeout: time::Duration,
    /// Certificate and key; without them the listener speaks plain HTTP.
    pub tls: Option<tls::Options>,
    /// Upper bound of open connections.
    pub connections_max: usize,
    /// Upper bound of open connections of one caller address. The addresses of
    /// an IPv6 /64 network count as one, because a caller usually has them all.
    pub address_connections_max: usize,
    /// How long a connection without a request in flight is kept.
    pub keep_alive: time::Duration,
    /// How long a caller may take no byte of an answer that waits for it.
    pub write_timeout: time::Duration,
    /// Longest time to send the rest of the last answer once a connection closes.
    pub close_grace: time::Duration,
    /// Upper bound of requests in flight on one HTTP/2 connection.
    pub streams_max: u32,
    /// Upper bound of header fields of a request.
    pub header_count_max: usize,
    /// Upper bound of a request's URI in bytes.
    pub uri_bytes_max: usize,
}

impl Default for Options {
    /// Returns the defaults of the settings, without a certificate.
    fn default() -> Self {
        Self {
            body_bytes_max: 4 * 1024 * 1024,
            header_bytes_max: 32 * 1024,
            idle_timeout: time::Duration::from_secs(10),
            body_timeout: time::Duration::from_secs(60),
            tls: None,
            connections_max: 20_000,
            address_connections_max: 4_096,
            keep_alive: time::Duration::from_secs(75),
            write_timeout: time::Duration::from_secs(30),
            close_grace: time::Duration::from_secs(30),
            streams_max: 128,
            header_count_max: 100,
            uri_bytes_max: 8 * 1024,
        }
    }
}
