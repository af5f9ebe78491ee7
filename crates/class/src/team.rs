use std::collections;
use std::sync;

use xxhash_rust::xxh3;

/// Name of the team of anonymous callers.
pub(crate) const ANONYMOUS: &str = "anonymous";

/// Key of the team of anonymous callers, which [`key`] never returns.
pub const ANONYMOUS_TEAM_KEY: u32 = 0;

/// Returns the key of a team: a stable hash of its name that is never 0.
///
/// If two teams of the settings have the same hash, [`crate::Table`] assigns
/// another key to the second one.
pub fn key(name: &str) -> u32 {
    let hash = xxh3::xxh3_64(name.as_bytes());
    // Both halves of the hash are equally well distributed.
    let folded = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    folded.max(1)
}

/// A team of the settings, or the team of anonymous callers.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub name: sync::Arc<str>,
    /// Unique key; [`ANONYMOUS_TEAM_KEY`] for anonymous callers.
    pub key: u32,
    /// Position of the team's class in the sorted names of classes.
    pub class: u16,
    /// Fair-share weight relative to other teams.
    pub weight: f64,
}

/// Assigns unique keys to teams.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    assigned: collections::HashSet<u32>,
}

impl Keys {
    /// Returns the key of a name, or the next free one if the key is assigned.
    ///
    /// With equal hashes the result depends on the order of calls, which must be
    /// that of the names.
    pub(crate) fn assign(&mut self, name: &str) -> u32 {
        let mut key = key(name);
        while !self.assigned.insert(key) {
            key = key.wrapping_add(1).max(1);
        }
        key
    }
}
