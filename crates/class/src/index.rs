use subtle::ConstantTimeEq as _;

/// Bytes of a hash that the index is sorted by.
const PREFIX: usize = 8;

/// Finds teams by the SHA-256 of a bearer key.
///
/// The search uses a prefix of the hash, so that its time grows with the
/// logarithm of the number of keys; the whole hash is compared in constant
/// time. The time of the search can only tell about a prefix of a hash, which
/// does not help to find a key.
#[derive(Clone, Debug)]
pub(crate) struct Index {
    entries: Vec<([u8; 32], usize)>,
}

impl Index {
    /// Returns an index of hashes with the position of their team.
    pub(crate) fn new(entries: impl IntoIterator<Item = ([u8; 32], usize)>) -> Self {
        let mut entries: Vec<_> = entries.into_iter().collect();
        entries.sort_unstable();
        Self { entries }
    }

    /// Returns the position of the team with this hash.
    pub(crate) fn find(&self, hash: &[u8; 32]) -> Option<usize> {
        let start = self
            .entries
            .partition_point(|(entry, _)| entry[..PREFIX] < hash[..PREFIX]);
        let mut found = None;
        let near = self.entries[start..].iter();
        for (entry, team) in near.take_while(|(entry, _)| entry[..PREFIX] == hash[..PREFIX]) {
            if bool::from(entry.ct_eq(hash)) {
                found = Some(*team);
            }
        }
        found
    }
}
