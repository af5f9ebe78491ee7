use std::net;

/// Where a host stands in its life.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// Serves callers and may be the home of shards.
    Up,
    /// Finishes what it has; absent from discovery and from homes.
    Leaving,
}

/// What one host knows of another and passes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name, unique in the fleet.
    pub name: String,
    /// Start of the process lifetime in Unix milliseconds.
    pub incarnation: u64,
    /// Heartbeat counter; grows by one for each digest that the host sends.
    pub counter: u64,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Whether the sender of the digest suspects it.
    pub suspected: bool,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Address for other hosts, TCP and UDP.
    pub peer: net::SocketAddr,
    /// Address for callers.
    pub caller: net::SocketAddr,
}
