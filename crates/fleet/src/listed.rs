use std::net;

use crate::entry;

/// A host in the platform's list, which may be outdated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Host name.
    pub name: String,
    /// Address for other hosts.
    pub peer: net::SocketAddr,
    /// Phase of the host according to the platform.
    pub phase: entry::Phase,
}
