use std::net;

/// A host in the membership of the host that answers.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Host {
    /// Host name.
    pub name: String,
    /// Start of the process lifetime in Unix milliseconds.
    pub incarnation: u64,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Address for other hosts.
    pub peer: net::SocketAddr,
    /// Address for callers.
    pub caller: net::SocketAddr,
    /// `up`, `suspected`, `dead` or `leaving`.
    pub state: String,
    /// Time since its last digest to the host that answers in milliseconds.
    pub digest_ms: Option<u64>,
    /// Configuration revision of that digest.
    pub revision: Option<u64>,
}
