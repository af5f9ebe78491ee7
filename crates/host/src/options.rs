use std::net;
use std::sync;

/// Which policy the shards of this host use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Tiers, fairness and adaptive limits.
    Current,
    /// First come first served with round robin, for comparison.
    Baseline,
}

/// What the program chooses for a host.
#[derive(Clone, Debug)]
pub struct Options {
    /// Checked settings.
    pub settings: sync::Arc<conf::Settings>,
    /// Name, unique in the fleet.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Address of the caller interface.
    pub listen: net::SocketAddr,
    /// Address for other hosts.
    pub peer_listen: net::SocketAddr,
    /// Address at which other hosts reach `peer_listen`, if it is another one.
    pub peer_advertise: Option<net::SocketAddr>,
    /// Address of the administration API.
    pub admin_listen: Option<net::SocketAddr>,
    /// Policy.
    pub policy: Policy,
}
