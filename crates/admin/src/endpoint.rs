use std::net;

/// Load that an endpoint reported.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Places in the running batch, or 0 if the endpoint does not say.
    pub slots: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// An endpoint, as its home host sees it.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Pool of the endpoint.
    pub pool: String,
    /// Shard of the pool.
    pub shard: u32,
    /// Name of the shard's home host; the fields below are empty elsewhere.
    pub home: String,
    /// Address.
    pub address: net::SocketAddr,
    /// Whether the endpoint takes no new work.
    pub draining: bool,
    /// Requests that the home host gave it.
    pub in_flight: u32,
    /// Upper bound of concurrent requests in the settings.
    pub slots: u32,
    /// Last load report.
    pub load: Option<Load>,
}
