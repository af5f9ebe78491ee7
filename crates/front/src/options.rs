use core::time;

use crate::memory;
use crate::tls;

/// Limits and TLS certificate of a [`Server`](crate::Server).
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum size of a request body. The default is 4 MiB.
    pub body_bytes_max: u64,
    /// Maximum size of all header names and values of a request. The default is
    /// 32 KiB.
    pub header_bytes_max: u64,
    /// Bytes by which the limits of the HTTP library exceed those of a request head,
    /// so that the router can refuse the request itself; the HTTP library refuses
    /// without a body. Together with these limits it bounds the bytes of a response
    /// that are buffered for a caller that reads slowly. The default is 64 KiB.
    pub head_margin_bytes: usize,
    /// Maximum time without data while a request body is received, and maximum
    /// time to receive a request head. Over HTTP/2 only the first head of a
    /// connection is limited. The default is 10 s.
    pub idle_timeout: time::Duration,
    /// Maximum time to receive a whole request body, however often bytes arrive.
    /// The default is 60 s.
    pub body_timeout: time::Duration,
    /// Certificate and key; `None`, the default, serves plain HTTP.
    pub tls: Option<tls::Options>,
    /// Maximum number of open connections. The default is 20,000.
    pub connections_max: usize,
    /// Maximum number of open connections of one caller address. The addresses of
    /// an IPv6 /64 network count as one, because one caller usually controls the
    /// whole network. The default is 4,096.
    pub address_connections_max: usize,
    /// Time without a request in flight from which a connection may be closed for a new
    /// one while all are taken. The default is 500 ms, which leaves callers on slow
    /// links the time to send a head.
    pub idle_min: time::Duration,
    /// Longest time for which new connections wait for a place while all are taken, but
    /// some wait for their callers. Zero, the default, refuses them at once.
    pub slot_wait: time::Duration,
    /// Time after which a connection without a request in flight is closed. The
    /// default is 75 s.
    pub keep_alive: time::Duration,
    /// Maximum time for which a caller may accept no byte of a response that is
    /// ready to be sent. The default is 30 s.
    pub write_timeout: time::Duration,
    /// Maximum time to send the rest of the last response while a connection is
    /// closing. The default is 30 s.
    pub close_grace: time::Duration,
    /// Maximum number of requests in flight on one HTTP/2 connection. The default
    /// is 128.
    pub streams_max: u32,
    /// Maximum number of header fields of a request. The default is 100.
    pub header_count_max: usize,
    /// Maximum length of the path and query of a request. The default is 8 KiB.
    pub uri_bytes_max: usize,
    /// Account of the memory that callers fill, the same for all listeners of a process.
    /// The default is one of its own, sized from the memory of the machine.
    pub memory: memory::Memory,
}

impl Default for Options {
    /// Returns the default values of the settings, without a certificate.
    fn default() -> Self {
        Self {
            body_bytes_max: 4 * 1024 * 1024,
            header_bytes_max: 32 * 1024,
            head_margin_bytes: 64 * 1024,
            idle_timeout: time::Duration::from_secs(10),
            body_timeout: time::Duration::from_secs(60),
            tls: None,
            connections_max: 20_000,
            address_connections_max: 4_096,
            idle_min: time::Duration::from_millis(500),
            slot_wait: time::Duration::ZERO,
            keep_alive: time::Duration::from_secs(75),
            write_timeout: time::Duration::from_secs(30),
            close_grace: time::Duration::from_secs(30),
            streams_max: 128,
            header_count_max: 100,
            uri_bytes_max: 8 * 1024,
            memory: memory::Memory::default(),
        }
    }
}
