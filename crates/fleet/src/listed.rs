use std::net;

use crate::entry;

/// A host in the platform's list, which lags behind reality.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Host name.
    pub name: String,
    /// Address for other hosts.
    pub peer: net::SocketAddr,
    /// What the platform says about the host.
    pub phase: entry::Phase,
}
