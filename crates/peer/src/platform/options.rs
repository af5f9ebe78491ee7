use core::time;
use std::net;

/// Options of a [`super::Client`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the platform's services.
    pub addresses: Vec<net::SocketAddr>,
    /// Longest duration of a connection attempt.
    pub connect_timeout: time::Duration,
    /// Longest duration of a read beyond its wait.
    pub timeout: time::Duration,
    /// Longest pause before the next address is tried; the pause is random.
    pub retry_delay_max: time::Duration,
}

impl Options {
    /// Returns the default options.
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        Self {
            addresses,
            connect_timeout: time::Duration::from_secs(1),
            timeout: time::Duration::from_secs(2),
            retry_delay_max: time::Duration::from_millis(100),
        }
    }
}
