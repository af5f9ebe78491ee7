use std::net;

/// The `[metrics]` section.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// StatsD address; `None` sends no metrics.
    pub statsd: Option<net::SocketAddr>,
}
