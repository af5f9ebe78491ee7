use std::net;

/// A host from which a configuration revision can be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// Peer address of the host.
    pub peer: net::SocketAddr,
    /// Name of the host.
    pub name: String,
    /// Configuration revision in force there.
    pub revision: u64,
}

/// The configuration of a received digest, compared with the one in force here.
///
/// Both fields are `None` if the sender has nothing that this host lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Comparison {
    /// The sender, if its revision is higher and can be fetched from it.
    pub newer: Option<Source>,
    /// The sender, if it has other content under the revision in force here.
    pub conflict: Option<Source>,
}
