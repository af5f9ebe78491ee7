use crate::entry;

/// A datagram that spreads membership and the configuration revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Digest {
    /// The sender itself comes first, then a bounded choice of other hosts.
    pub entries: Vec<entry::Entry>,
    /// Configuration revision in force at the sender; 0 for none.
    pub revision: u64,
    /// SHA-256 of the configuration in force at the sender.
    pub content: [u8; 32],
}
