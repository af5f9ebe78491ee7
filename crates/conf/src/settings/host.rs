use std::net;

/// The `[host]` section. The command line may override each value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Host {
    /// Name, unique in the fleet; `None` if it is not set.
    pub name: Option<String>,
    /// Data centre of this host; `None` if it is not set.
    pub data_centre: Option<String>,
    /// Region of this host; `None` if it is not set.
    pub region: Option<String>,
    /// Address on which callers connect; `None` if it is not set.
    pub listen: Option<net::SocketAddr>,
    /// Address on which other hosts connect, TCP and UDP; `None` if it is not
    /// set.
    pub peer_listen: Option<net::SocketAddr>,
    /// Address of the administration API; `None` if it is not set.
    pub admin_listen: Option<net::SocketAddr>,
}
