use core::time;
use std::net;

/// Options of a [`super::Client`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the platform's HTTP service.
    pub addresses: Vec<net::SocketAddr>,
    /// Maximum duration of a connection attempt.
    pub connect_timeout: time::Duration,
    /// Maximum duration of a read at one address, beyond the wait that the read asks
    /// for.
    pub timeout: time::Duration,
    /// Maximum delay before the next address is tried; the delay is random.
    pub retry_delay_max: time::Duration,
}

impl Options {
    /// Returns the default options: 1 s to connect, 2 s per read and a retry delay of
    /// at most 100 ms.
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        Self {
            addresses,
            connect_timeout: time::Duration::from_secs(1),
            timeout: time::Duration::from_secs(2),
            retry_delay_max: time::Duration::from_millis(100),
        }
    }
}
