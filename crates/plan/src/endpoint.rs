use std::net;

/// Where an endpoint stands in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Phase {
    /// Takes work.
    Up,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// One lifetime of a process that answers requests of a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Endpoint {
    /// Identifier that an order can name, so that another process at the same
    /// address refuses it.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Address that takes requests.
    pub address: net::SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Start of this lifetime in Unix milliseconds; 0 if it is not published.
    pub started_ms: u64,
}
