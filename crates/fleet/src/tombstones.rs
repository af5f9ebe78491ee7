use core::time;
use std::collections;

/// Tombstones kept at once; the oldest is dropped first.
const TOMBSTONES_MAX: usize = 4_096;

/// The last known heartbeat of an evicted host.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: u64,
    counter: u64,
    /// Time of the eviction.
    at: time::Duration,
}

/// Last heartbeats of evicted hosts, so that outdated digests do not bring them
/// back.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tombstones {
    tombstones: collections::BTreeMap<String, Tombstone>,
}

impl Tombstones {
    /// Records the last heartbeat of an evicted host.
    pub(crate) fn insert(
        &mut self,
        now: time::Duration,
        name: String,
        incarnation: u64,
        counter: u64,
    ) {
        let tombstone = Tombstone {
            incarnation,
            counter,
            at: now,
        };
        self.tombstones.insert(name, tombstone);
        if self.tombstones.len() <= TOMBSTONES_MAX {
            return;
        }
        let oldest = self
            .tombstones
            .iter()
            .min_by_key(|(_, tombstone)| tombstone.at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.tombstones.remove(&name);
        }
    }

    /// Returns whether a heartbeat is no newer than the last one of that host.
    pub(crate) fn covers(&self, name: &str, incarnation: u64, counter: u64) -> bool {
        self.tombstones.get(name).is_some_and(|tombstone| {
            (incarnation, counter) <= (tombstone.incarnation, tombstone.counter)
        })
    }

    /// Returns whether a lifetime ended before the eviction of its host.
    pub(crate) fn has_ended(&self, name: &str, incarnation: u64) -> bool {
        self.tombstones
            .get(name)
            .is_some_and(|tombstone| incarnation <= tombstone.incarnation)
    }

    /// Removes the tombstone of a host that is known again.
    pub(crate) fn remove(&mut self, name: &str) {
        self.tombstones.remove(name);
    }

    /// Removes tombstones that have reached the age `ttl`.
    pub(crate) fn expire(&mut self, now: time::Duration, ttl: time::Duration) {
        self.tombstones
            .retain(|_, tombstone| now.saturating_sub(tombstone.at) < ttl);
    }
}
