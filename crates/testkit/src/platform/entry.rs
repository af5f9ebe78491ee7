use std::net;

/// Host in the host list.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Entry {
    /// Name of the host, unique in the list.
    pub name: String,
    /// Address on which the host accepts callers.
    pub caller: net::SocketAddr,
    /// Address on which the host accepts other hosts.
    pub peer: net::SocketAddr,
    /// Data centre of the host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// `live` or `leaving`.
    pub state: String,
}
