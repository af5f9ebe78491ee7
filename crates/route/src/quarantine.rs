use core::time;
use std::collections;

use crate::effect;
use crate::verdict;

/// Request that was in flight at a crash.
#[derive(Debug)]
struct Suspect {
    /// Endpoint that crashed first.
    first_endpoint: u64,
    /// Time of the first crash.
    first_crash_at: time::Duration,
    /// Number of crashes; reset when the suspect has expired.
    crashes: u32,
    /// Time until which the request is refused; `None` if it is not poison.
    poison_until: Option<time::Duration>,
    /// Time from which the request is clear again.
    expires_at: time::Duration,
}

/// Requests that were in flight at crashes of endpoints.
///
/// After one crash a request is a suspect; after crashes of two endpoints it is
/// poison and refused for a time. Requests are identified by a fingerprint, a
/// hash of the whole request.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: rustc_hash::FxHashMap<u64, Suspect>,
    /// Suspects in the order of eviction, oldest first. Entries of cleared requests
    /// are removed later.
    order: collections::VecDeque<u64>,
    /// Crashes that are attributed to a poison request.
    explained: collections::VecDeque<(u64, time::Duration)>,
    /// Suspects that are running.
    running: rustc_hash::FxHashSet<u64>,
}

impl Quarantine {
    /// Returns a quarantine without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the verdict on the request with this fingerprint; 0 is always clear.
    pub fn verdict(&self, now: time::Duration, fingerprint: u64) -> verdict::Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return verdict::Verdict::Clear;
        };
        if suspect.poison_until.is_some_and(|until| now < until) {
            verdict::Verdict::Poison
        } else if now < suspect.expires_at {
            verdict::Verdict::Suspect
        } else {
            verdict::Verdict::Clear
        }
    }

    /// Returns the time, which may have passed, until which a request is refused;
    /// `None` if it is not poison.
    pub fn refused_until(&self, fingerprint: u64) -> Option<time::Duration> {
        self.suspects.get(&fingerprint)?.poison_until
    }

    /// Records a crash of an endpoint while the request was in flight there.
    ///
    /// `endpoint` is any value that differs between endpoints, including those of
    /// other shards. A crash that is already attributed to a poison request is
    /// ignored, unless this request is a running suspect.
    pub fn record_crash(
        &mut self,
        now: time::Duration,
        fingerprint: u64,
        endpoint: u64,
    ) -> effect::Effect {
        let mut explained = self.explained.iter();
        let is_explained = explained.any(|&crash| is_same_crash(crash, (endpoint, now)));
        if fingerprint == 0 || (is_explained && !self.running.contains(&fingerprint)) {
            return effect::Effect::Ignored;
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            self.insert(now, fingerprint, endpoint);
            return effect::Effect::Suspected;
        };
        if now >= suspect.expires_at {
            suspect.first_endpoint = endpoint;
            suspect.first_crash_at = now;
            suspect.crashes = 0;
            suspect.poison_until = None;
        }
        suspect.crashes += 1;
        suspect.expires_at = now + SUSPECT_TIME;
        let is_other_endpoint = suspect.first_endpoint != endpoint;
        if is_other_endpoint || suspect.crashes >= POISON_CRASHES {
            suspect.poison_until = Some(now + POISON_TIME);
            suspect.expires_at = now + POISON_TIME + SUSPECT_TIME;
            let first = (suspect.first_endpoint, suspect.first_crash_at);
            let before = self.suspects.len();
            self.clear_explained(first);
            self.clear_explained((endpoint, now));
            let cleared = before - self.suspects.len();
            return effect::Effect::Convicted { cleared };
        }
        effect::Effect::Suspected
    }

    fn insert(&mut self, now: time::Duration, fingerprint: u64, endpoint: u64) {
        let suspect = Suspect {
            first_endpoint: endpoint,
            first_crash_at: now,
            crashes: 1,
            poison_until: None,
            expires_at: now + SUSPECT_TIME,
        };
        self.suspects.insert(fingerprint, suspect);
        self.order.push_back(fingerprint);
        while self.order.len() > SUSPECTS_MAX {
            if let Some(old) = self.order.pop_front() {
                self.suspects.remove(&old);
            }
        }
    }

    /// Attributes a crash to a poison request and clears the other suspects whose
    /// first crash it is.
    fn clear_explained(&mut self, crash: (u64, time::Duration)) {
        self.suspects.retain(|_, suspect| {
            suspect.poison_until.is_some()
                || !is_same_crash((suspect.first_endpoint, suspect.first_crash_at), crash)
        });
        self.explained.push_back(crash);
        if self.explained.len() > EXPLAINED_MAX {
            self.explained.pop_front();
        }
    }

    /// Clears a request after it has completed.
    pub fn clear(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Records that a suspect starts to run; returns `false` if one with this
    /// fingerprint is already running.
    pub fn start(&mut self, fingerprint: u64) -> bool {
        self.running.insert(fingerprint)
    }

    /// Returns whether a suspect with this fingerprint is running.
    pub fn is_running(&self, fingerprint: u64) -> bool {
        self.running.contains(&fingerprint)
    }

    /// Records that the run of a suspect has ended.
    pub fn stop(&mut self, fingerprint: u64) {
        self.running.remove(&fingerprint);
    }

    /// Removes the suspects that have expired at `now`.
    pub fn evict_expired(&mut self, now: time::Duration) {
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
        let suspects = &self.suspects;
        self.order
            .retain(|fingerprint| suspects.contains_key(fingerprint));
    }

    /// Returns the number of suspects, including poison requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}

/// Returns whether two failures, each an endpoint and a time, are one crash.
fn is_same_crash(one: (u64, time::Duration), other: (u64, time::Duration)) -> bool {
    one.0 == other.0 && one.1.abs_diff(other.1) <= SAME_CRASH_WINDOW
}

/// Time without a crash after which a suspect is clear.
const SUSPECT_TIME: time::Duration = time::Duration::from_secs(120);

/// Time for which a poison request is refused. Afterwards it is a suspect again,
/// so it can crash one more endpoint in each such period.
const POISON_TIME: time::Duration = time::Duration::from_secs(600);

/// Crashes of a single endpoint that make a request poison.
const POISON_CRASHES: u32 = 3;

/// Longest time between failures of one endpoint that count as one crash.
const SAME_CRASH_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Maximum number of suspects, of about 100 bytes each.
const SUSPECTS_MAX: usize = 4_096;

/// Maximum number of attributed crashes that are kept.
const EXPLAINED_MAX: usize = 64;
