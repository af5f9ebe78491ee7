use std::collections;
use std::sync;

use xxhash_rust::xxh3;

/// Name under which anonymous callers appear.
pub(crate) const ANONYMOUS: &str = "anonymous";

/// Key of all anonymous callers.
pub const ANONYMOUS_TEAM_KEY: u32 = 0;

/// Returns the key of a team: a stable hash of its name that is never 0.
///
/// [`crate::Table`] gives another key to a team whose hash another team of the
/// settings has already.
pub fn key(name: &str) -> u32 {
    let hash = xxh3::xxh3_64(name.as_bytes());
    // The upper half of the hash is as good as the lower one.
    let folded = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    folded.max(1)
}

/// One team, or all anonymous callers.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    /// Name.
    pub name: sync::Arc<str>,
    /// Key; [`ANONYMOUS_TEAM_KEY`] for all anonymous callers.
    pub key: u32,
    /// Position of its class.
    pub class: u16,
    /// Weight against other teams.
    pub weight: f64,
}

/// Gives out keys without repeats.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    taken: collections::HashSet<u32>,
}

impl Keys {
    /// Returns the key of a name, or the next free one when it is taken. The
    /// result depends on the order of calls, which is the order of names.
    pub(crate) fn take(&mut self, name: &str) -> u32 {
        let mut key = key(name);
        while !self.taken.insert(key) {
            key = key.wrapping_add(1).max(1);
        }
        key
    }
}
