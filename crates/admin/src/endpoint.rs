use std::net;

/// Load reported by an endpoint.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the endpoint's own queue.
    pub waiting: u32,
    /// Capacity of the running batch in requests; 0 if the endpoint does not report
    /// it.
    pub slots: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// State of an endpoint at its home host.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Name of the pool that the endpoint serves.
    pub pool: String,
    /// Index of the shard within the pool, from 0.
    pub shard: u32,
    /// Name of the shard's home host, or empty if none is known. Only that host knows
    /// `in_flight` and `load`; the others give 0 and `None`.
    pub home: String,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Whether the endpoint receives no new requests.
    pub draining: bool,
    /// Requests for which the home host has granted a slot.
    pub in_flight: u32,
    /// Maximum number of concurrent requests from the settings.
    pub slots: u32,
    /// Last load report; `None` if there is none.
    pub load: Option<Load>,
}
