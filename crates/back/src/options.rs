use core::time;

/// What the caller of the library chooses.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest time to make a connection, and before that to wait for a place
    /// below the bounds of connections.
    pub connect_timeout: time::Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: time::Duration,
    /// Upper bound of open connections in all.
    pub connections_max: usize,
    /// Upper bound of open connections to one endpoint, for each combination
    /// of [`crate::Reuse`] and [`crate::Version`]. They are counted apart, so
    /// that kept connections never keep a fresh one from being opened.
    pub endpoint_connections_max: usize,
    /// Upper bound of idle connections that are kept to one endpoint.
    pub endpoint_idle_max: usize,
    /// Time after which a silent HTTP/2 connection is asked for a sign of life
    /// and, without one for the same time, closed.
    pub ping_interval: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(30),
            connections_max: 16_384,
            endpoint_connections_max: 512,
            endpoint_idle_max: 64,
            ping_interval: time::Duration::from_secs(5),
        }
    }
}
