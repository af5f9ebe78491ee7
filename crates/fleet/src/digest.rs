use crate::entry;

/// A gossip datagram: membership entries and the configuration revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Digest {
    /// The entry of the sender, then a bounded choice of other hosts.
    pub entries: Vec<entry::Entry>,
    /// Configuration revision in force at the sender; 0 if there is none.
    pub revision: u64,
    /// SHA-256 of the configuration in force at the sender; zeros if it gives none.
    pub content: [u8; 32],
}
