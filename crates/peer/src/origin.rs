use std::sync;

/// Host and link from which a call arrived.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Origin {
    /// Name that the calling host gave in the handshake, authenticated with a shared
    /// key.
    pub name: sync::Arc<str>,
    /// Start of the calling host's process in Unix milliseconds.
    pub incarnation: u64,
    /// Number of the link, counted from 1 and unique for a [`crate::Server`].
    pub link: u64,
}
