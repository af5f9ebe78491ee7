use std::net;

/// Phase of a host's lifetime, announced by the host itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// It accepts callers and may be the home of shards.
    Up,
    /// It finishes its open requests; it is left out of discovery and homes.
    Leaving,
}

/// The state of one host, as gossiped in digests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name, unique in the fleet.
    pub name: String,
    /// Start of the process lifetime in Unix milliseconds; a higher one replaces
    /// a lower one.
    pub incarnation: u64,
    /// Heartbeat counter; grows by one for each digest that the host sends.
    pub counter: u64,
    /// Phase of the lifetime.
    pub phase: Phase,
    /// Whether the sender of the digest suspects it.
    pub suspected: bool,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of its region.
    pub region: String,
    /// Address for other hosts, TCP and UDP.
    pub peer: net::SocketAddr,
    /// Address for callers.
    pub caller: net::SocketAddr,
}
