use core::time;
use std::net;

use crate::headers;

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Data centre of the host. Watchers are selected per data centre, and
    /// loads are sent to other data centres only as sums.
    pub data_centre: String,
    /// Region of the data centre, which membership publishes.
    pub region: String,
    /// Address at which callers are served over HTTP.
    pub listen: net::SocketAddr,
    /// Address for other hosts: membership datagrams over UDP, and the state of
    /// this host over TCP.
    pub peer_listen: net::SocketAddr,
    /// Address for load datagrams over UDP. The ports of this address and of
    /// `peer_listen` must be the same at all hosts: a host sends loads to its
    /// own load port at the address of another host, and fetches the state of a
    /// sender from its own peer port there.
    pub load_listen: net::SocketAddr,
    /// Peer addresses of hosts to contact first; the host's own is ignored.
    pub seeds: Vec<net::SocketAddr>,
    /// Text from which the key of membership datagrams is derived. The same at
    /// all hosts and not empty.
    pub peer_key: String,
    /// CPU time of the host in thousandths of a core. The hosts of a data
    /// centre with the most CPU time read the platform for the others.
    pub cpu_millicores: u16,
    /// Large transfers of the state to other hosts that the link of the host bears at the
    /// same time; at least one is allowed.
    pub transfers_max: usize,
    /// Names of the headers that the host reads and sets.
    pub headers: headers::Headers,
    /// Upper bound of open connections of callers.
    pub connections_max: usize,
    /// Account of the memory that callers fill, the same for all listeners of the
    /// process.
    pub memory: front::Memory,
    /// Upper bound of retries, shared by all hosts.
    pub retry_budget: steer::Allowance,
    /// How long an endpoint whose entry vanished during an outage of the
    /// platform is kept after the platform answers again. In this time the
    /// platform restores the entries that expired during the outage.
    pub removal_grace: time::Duration,
    /// Times within which changes of the platform take effect.
    pub freshness: fleet::freshness::Bounds,
    /// Time from the call of [`Host::stop`](crate::Host::stop) until the
    /// process is killed.
    pub stop_timeout: time::Duration,
    /// Settings of the endpoint selection.
    pub steer: steer::Options,
}
