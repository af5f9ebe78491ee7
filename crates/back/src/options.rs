use core::time;

/// Limits and time-outs of a [`crate::Client`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum time to open a connection, and separately the maximum time to wait
    /// for one to be allowed by the connection limits. The default is 1 s.
    pub connect_timeout: time::Duration,
    /// Time after which an idle connection is closed. The default is 30 s.
    pub idle_timeout: time::Duration,
    /// Maximum number of open connections to all endpoints. The default is
    /// 16,384.
    pub connections_max: usize,
    /// Maximum number of open connections to one endpoint for each combination
    /// of [`crate::Reuse`] and [`crate::Version`]. They are counted separately, so
    /// that pooled connections never prevent a fresh one. The default is 512.
    pub endpoint_connections_max: usize,
    /// Maximum number of idle connections to one endpoint that are pooled for
    /// each [`crate::Version`]. The default is 64.
    pub endpoint_idle_max: usize,
    /// Interval without received frames after which an HTTP/2 connection is
    /// pinged; without a response within the same time it is closed. The default
    /// is 5 s.
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
