use subtle::ConstantTimeEq as _;

/// Length of the leading part of a hash by which the index is searched.
const PREFIX_BYTES: usize = 8;

/// Index of teams by the SHA-256 of their bearer keys.
///
/// A binary search by a prefix of the hash takes time logarithmic in the number
/// of keys; the whole hash is then compared in constant time. The duration of a
/// search can reveal only a prefix of a hash, which does not help to find a key.
#[derive(Clone, Debug)]
pub(crate) struct Index {
    entries: Vec<([u8; 32], usize)>,
}

impl Index {
    /// Returns an index of pairs of a hash and the position of its team.
    pub(crate) fn new(entries: impl IntoIterator<Item = ([u8; 32], usize)>) -> Self {
        let mut entries: Vec<_> = entries.into_iter().collect();
        entries.sort_unstable();
        Self { entries }
    }

    /// Returns the position of the team that has a key with this hash.
    pub(crate) fn find(&self, hash: &[u8; 32]) -> Option<usize> {
        let start = self
            .entries
            .partition_point(|(entry, _)| entry[..PREFIX_BYTES] < hash[..PREFIX_BYTES]);
        let mut found = None;
        let candidates = self.entries[start..].iter();
        for (entry, team) in
            candidates.take_while(|(entry, _)| entry[..PREFIX_BYTES] == hash[..PREFIX_BYTES])
        {
            if bool::from(entry.ct_eq(hash)) {
                found = Some(*team);
            }
        }
        found
    }
}
