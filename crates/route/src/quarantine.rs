use core::time;
use std::collections;

use crate::verdict;

#[derive(Debug)]
struct Suspect {
    /// First endpoint that crashed.
    endpoint: u64,
    /// Time of the first crash.
    first: time::Duration,
    crashes: u32,
    poison_until: Option<time::Duration>,
    expires: time::Duration,
}

/// Counts, per request, the endpoints that crashed while it was in flight.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: rustc_hash::FxHashMap<u64, Suspect>,
    /// Order of eviction; entries of cleared requests are dropped late.
    order: collections::VecDeque<u64>,
    /// Crashes that a poisonous request explains.
    explained: collections::VecDeque<(u64, time::Duration)>,
    /// Suspects that run now.
    running: rustc_hash::FxHashSet<u64>,
}

impl Quarantine {
    /// Returns a record without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what is known about the request with this fingerprint; 0 is never blamed.
    pub fn verdict(&self, now: time::Duration, fingerprint: u64) -> verdict::Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return verdict::Verdict::Clear;
        };
        if suspect.poison_until.is_some_and(|until| now < until) {
            verdict::Verdict::Poison
        } else if now < suspect.expires {
            verdict::Verdict::Suspect
        } else {
            verdict::Verdict::Clear
        }
    }

    /// Returns the time until which a poisonous request is refused.
    pub fn refused_until(&self, fingerprint: u64) -> Option<time::Duration> {
        self.suspects.get(&fingerprint)?.poison_until
    }

    /// Counts a crash of an endpoint while the request was in flight there.
    ///
    /// `endpoint` only has to differ between endpoints; it may stand for one of
    /// another shard.
    pub fn record_crash(&mut self, now: time::Duration, fingerprint: u64, endpoint: u64) {
        let mut explained = self.explained.iter();
        let known = explained.any(|&crash| same(crash, (endpoint, now)));
        if fingerprint == 0 || (known && !self.running.contains(&fingerprint)) {
            return;
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            self.add(now, fingerprint, endpoint);
            return;
        };
        if now >= suspect.expires {
            suspect.endpoint = endpoint;
            suspect.first = now;
            suspect.crashes = 0;
            suspect.poison_until = None;
        }
        suspect.crashes += 1;
        suspect.expires = now + SUSPECT_TIME;
        let distinct = suspect.endpoint != endpoint;
        if distinct || suspect.crashes >= CRASHES_MAX {
            suspect.poison_until = Some(now + POISON_TIME);
            suspect.expires = now + POISON_TIME + SUSPECT_TIME;
            let first = (suspect.endpoint, suspect.first);
            self.exonerate(first);
            self.exonerate((endpoint, now));
        }
    }

    fn add(&mut self, now: time::Duration, fingerprint: u64, endpoint: u64) {
        let suspect = Suspect {
            endpoint,
            first: now,
            crashes: 1,
            poison_until: None,
            expires: now + SUSPECT_TIME,
        };
        self.suspects.insert(fingerprint, suspect);
        self.order.push_back(fingerprint);
        while self.order.len() > SUSPECTS_MAX {
            if let Some(old) = self.order.pop_front() {
                self.suspects.remove(&old);
            }
        }
    }

    /// Clears the requests whose only crash is explained by a poisonous one.
    fn exonerate(&mut self, crash: (u64, time::Duration)) {
        self.suspects.retain(|_, suspect| {
            suspect.poison_until.is_some() || !same((suspect.endpoint, suspect.first), crash)
        });
        self.explained.push_back(crash);
        if self.explained.len() > EXPLAINED_MAX {
            self.explained.pop_front();
        }
    }

    /// Clears a request whose run completed.
    pub fn clear(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Notes that a suspect starts to run; returns `false` if it already does.
    pub fn start(&mut self, fingerprint: u64) -> bool {
        self.running.insert(fingerprint)
    }

    /// Returns whether a suspect with this fingerprint runs.
    pub fn is_running(&self, fingerprint: u64) -> bool {
        self.running.contains(&fingerprint)
    }

    /// Notes that the run of a suspect ended.
    pub fn stop(&mut self, fingerprint: u64) {
        self.running.remove(&fingerprint);
    }

    /// Drops what has expired.
    pub fn evict_expired(&mut self, now: time::Duration) {
        self.suspects.retain(|_, suspect| now < suspect.expires);
        let suspects = &self.suspects;
        self.order
            .retain(|fingerprint| suspects.contains_key(fingerprint));
    }

    /// Returns the number of requests that are held in memory.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is blamed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}

fn same(one: (u64, time::Duration), other: (u64, time::Duration)) -> bool {
    one.0 == other.0 && one.1.abs_diff(other.1) <= SAME_CRASH
}

/// Time after which one count is forgotten.
const SUSPECT_TIME: time::Duration = time::Duration::from_secs(120);

/// Time for which a request with two counts is refused. After it the request
/// is a suspect again, so it can crash one more endpoint per period.
const POISON_TIME: time::Duration = time::Duration::from_secs(600);

/// Crashes of one and the same endpoint that count as two endpoints.
const CRASHES_MAX: u32 = 3;

/// Failures at one endpoint within this time are one crash.
const SAME_CRASH: time::Duration = time::Duration::from_secs(2);

/// Requests that are held in memory (about 100 bytes each).
const SUSPECTS_MAX: usize = 4_096;

/// Explained crashes that are remembered.
const EXPLAINED_MAX: usize = 64;
