use core::time;
use std::net;

use crate::headers;

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name, unique in the fleet.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for other hosts: membership datagrams over UDP, and the state of
    /// this host over TCP.
    pub peer_listen: net::SocketAddr,
    /// Address for the loads of other hosts over UDP.
    pub load_listen: net::SocketAddr,
    /// Peer addresses of hosts to contact first.
    pub seeds: Vec<net::SocketAddr>,
    /// Text from which the key of datagrams between hosts is derived.
    pub peer_key: String,
    /// Processor time of the host in thousandths of a core. The strongest hosts
    /// of a data centre read the platform for the others.
    pub cpu_millicores: u16,
    /// Header names.
    pub headers: headers::Headers,
    /// Upper bound of connections of callers.
    pub connections_max: usize,
    /// Bytes of request bodies that are held at once.
    pub body_memory_max: usize,
    /// Bound of repeats, shared by all hosts.
    pub retry_budget: steer::Allowance,
    /// How long an endpoint that was removed while the platform was out of
    /// reach is kept after its return. The platform restores entries that
    /// lapsed meanwhile.
    pub removal_grace: time::Duration,
    /// Time between the order to stop and the end of the process.
    pub stop_timeout: time::Duration,
    /// Settings of the endpoint choice.
    pub steer: steer::Options,
}
