use std::net;

/// A host on the list.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub caller: net::SocketAddr,
    /// Address for other hosts.
    pub peer: net::SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// `live` or `leaving`.
    pub state: String,
}
