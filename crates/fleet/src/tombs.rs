use core::time;
use std::collections;

/// Tombstones kept at once; the oldest is dropped first.
const TOMBS_MAX: usize = 4_096;

/// The last life sign of a forgotten host.
#[derive(Clone, Copy, Debug)]
struct Tomb {
    incarnation: u64,
    counter: u64,
    at: time::Duration,
}

/// Last life signs of forgotten hosts, so that stale digests do not revive them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tombs {
    tombs: collections::BTreeMap<String, Tomb>,
}

impl Tombs {
    /// Records the last life sign of a host.
    pub(crate) fn bury(
        &mut self,
        now: time::Duration,
        name: String,
        incarnation: u64,
        counter: u64,
    ) {
        let tomb = Tomb {
            incarnation,
            counter,
            at: now,
        };
        self.tombs.insert(name, tomb);
        if self.tombs.len() <= TOMBS_MAX {
            return;
        }
        let oldest = self.tombs.iter().min_by_key(|(_, tomb)| tomb.at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.tombs.remove(&name);
        }
    }

    /// Returns whether a life sign is no newer than the last one.
    pub(crate) fn covers(&self, name: &str, incarnation: u64, counter: u64) -> bool {
        self.tombs
            .get(name)
            .is_some_and(|tomb| (incarnation, counter) <= (tomb.incarnation, tomb.counter))
    }

    /// Returns whether the lifetime has ended.
    pub(crate) fn ended(&self, name: &str, incarnation: u64) -> bool {
        self.tombs
            .get(name)
            .is_some_and(|tomb| incarnation <= tomb.incarnation)
    }

    /// Drops the tombstone of a host that is known again.
    pub(crate) fn remove(&mut self, name: &str) {
        self.tombs.remove(name);
    }

    /// Drops tombstones older than `age`.
    pub(crate) fn expire(&mut self, now: time::Duration, age: time::Duration) {
        self.tombs
            .retain(|_, tomb| now.saturating_sub(tomb.at) < age);
    }
}
