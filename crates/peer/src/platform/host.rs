use std::net;

/// What the platform says about a host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host serves.
    #[serde(alias = "up")]
    Live,
    /// The host finishes what it has.
    Leaving,
}

/// A host in the platform's list, which lags behind reality.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize)]
pub struct Host {
    /// Host name.
    pub name: String,
    /// Address for callers.
    pub caller: net::SocketAddr,
    /// Address for other hosts, TCP and UDP.
    pub peer: net::SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// What the platform says about the host.
    pub state: State,
}

/// Answer with the list of hosts.
#[derive(serde::Deserialize)]
pub struct List {
    /// The hosts.
    pub hosts: Vec<Host>,
}
