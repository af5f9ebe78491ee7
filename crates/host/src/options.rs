use core::time;
use std::net;
use std::sync;

/// Scheduling policy of the shards of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Tiers, fairness and adaptive limits.
    Current,
    /// First come, first served with round robin, as a reference for measurements.
    Baseline,
}

/// Default of [`Options::stall_timeout`].
pub const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Options with which a host starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Validated settings.
    pub settings: sync::Arc<conf::Settings>,
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Data centre of the host; the lists of hosts that it sends prefer this one.
    pub data_centre: String,
    /// Region of the host; as homes of shards it prefers hosts of the same region.
    pub region: String,
    /// Address on which callers are served; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Address for other hosts, bound for TCP and UDP; port 0 selects a free port.
    pub peer_listen: net::SocketAddr,
    /// Address at which other hosts reach `peer_listen`; `None` if it is the bound
    /// address.
    pub peer_advertise: Option<net::SocketAddr>,
    /// Address of the administration API; `None` disables it.
    pub admin_listen: Option<net::SocketAddr>,
    /// Scheduling policy of the shards.
    pub policy: Policy,
    /// Time without data within an answer after which its endpoint counts as silent.
    pub stall_timeout: time::Duration,
}
