use std::net;

/// A digest's sender and the configuration revision in force there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// Peer address of the sender.
    pub peer: net::SocketAddr,
    /// Name of the sender.
    pub name: String,
    /// Configuration revision in force at the sender.
    pub revision: u64,
}

/// What a received digest asks of this host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Comparison {
    /// The sender has a higher revision, which can be fetched from it.
    pub newer: Option<Source>,
    /// The sender has other content under the revision in force here.
    pub conflict: Option<Source>,
}
