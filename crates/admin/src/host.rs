use std::net;

/// Entry of the membership list of the responding host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Host {
    /// Host name.
    pub name: String,
    /// Start time of the process in Unix milliseconds.
    pub incarnation: u64,
    /// Data centre that the host is in.
    pub data_centre: String,
    /// Region that the host is in.
    pub region: String,
    /// Address that other hosts connect to.
    pub peer: net::SocketAddr,
    /// Address that callers connect to.
    pub caller: net::SocketAddr,
    /// `up`, `suspected`, `dead` or `leaving`.
    pub state: String,
    /// Time since the responding host received the last digest of this host in
    /// milliseconds; `None` for itself and before the first digest.
    pub digest_ms: Option<u64>,
    /// Configuration revision in that digest; for the responding host, its own.
    pub revision: Option<u64>,
}
