use std::net;

/// The `[host]` section. The command line may override each value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: Option<String>,
    /// Data centre.
    pub data_centre: Option<String>,
    /// Region.
    pub region: Option<String>,
    /// Address of the caller interface.
    pub listen: Option<net::SocketAddr>,
    /// Address for other hosts.
    pub peer_listen: Option<net::SocketAddr>,
    /// Address of the administration API.
    pub admin_listen: Option<net::SocketAddr>,
}
