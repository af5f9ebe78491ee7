use core::time;
use std::collections;

use crate::effect;
use crate::suspect;
use crate::verdict;

/// Requests that were in flight at crashes of endpoints.
///
/// After one crash a request is a suspect; after crashes of two endpoints it is
/// poison and refused for a time. Requests are identified by a fingerprint, a
/// hash of the whole request.
///
/// The verdict on a request depends only on the crashes recorded for it and not on
/// the order in which they are recorded, so hosts that exchange crash reports
/// agree. Evidence against one request never removes evidence against another.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: rustc_hash::FxHashMap<u64, suspect::Suspect>,
    /// Suspects in the order of eviction, oldest first. Expired entries are removed
    /// later.
    order: collections::VecDeque<u64>,
    /// Crashes that are attributed to a poison request: endpoint and time.
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
            return verdict::Verdict::Poison;
        }
        if now >= suspect.expires_at || self.is_explained(suspect) {
            return verdict::Verdict::Clear;
        }
        verdict::Verdict::Suspect
    }

    /// Returns whether poison requests explain every crash of a suspect that is not
    /// poison itself.
    fn is_explained(&self, suspect: &suspect::Suspect) -> bool {
        suspect.poison_until.is_none()
            && suspect.crashes().all(|(endpoint, at)| {
                self.explained.iter().any(|&(explained, time)| {
                    explained == endpoint && suspect::is_same_crash(time, at)
                })
            })
    }

    /// Returns the time, which may have passed, until which a request is refused;
    /// `None` if it is not poison.
    pub fn refused_until(&self, fingerprint: u64) -> Option<time::Duration> {
        self.suspects.get(&fingerprint)?.poison_until
    }

    /// Records a crash that this process observed: the endpoint crashed while the
    /// request was in flight there. A later crash of the same endpoint counts again.
    ///
    /// `endpoint` is any value that differs between endpoints, including those of
    /// other shards.
    pub fn record_crash(
        &mut self,
        now: time::Duration,
        fingerprint: u64,
        endpoint: u64,
    ) -> effect::Effect {
        self.record(now, fingerprint, endpoint, true)
    }

    /// Records a crash that is reported any number of times and counts once.
    ///
    /// `endpoint` differs between endpoints and between the starts of one.
    pub fn record_report(
        &mut self,
        now: time::Duration,
        fingerprint: u64,
        endpoint: u64,
    ) -> effect::Effect {
        self.record(now, fingerprint, endpoint, false)
    }

    fn record(
        &mut self,
        now: time::Duration,
        fingerprint: u64,
        endpoint: u64,
        is_repeatable: bool,
    ) -> effect::Effect {
        if fingerprint == 0 {
            return effect::Effect::Ignored;
        }
        if self
            .suspects
            .get(&fingerprint)
            .is_none_or(|suspect| now >= suspect.expires_at)
        {
            self.insert(fingerprint);
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return effect::Effect::Ignored;
        };
        if !suspect.add(now, endpoint, is_repeatable) {
            return effect::Effect::Ignored;
        }
        suspect.expires_at = suspect.expires_at.max(now + SUSPECT_TIME);
        if !suspect.is_convicted() {
            return effect::Effect::Counted;
        }
        let was_poison = suspect.poison_until.is_some_and(|until| now < until);
        suspect.poison_until = Some(now + POISON_TIME);
        suspect.expires_at = now + POISON_TIME + SUSPECT_TIME;
        self.explained.extend(suspect.crashes());
        while self.explained.len() > EXPLAINED_MAX {
            self.explained.pop_front();
        }
        match was_poison {
            true => effect::Effect::Counted,
            false => effect::Effect::Convicted,
        }
    }

    /// Adds a suspect without crashes, and evicts the oldest one that is not poison
    /// if there are too many.
    fn insert(&mut self, fingerprint: u64) {
        let before = self
            .suspects
            .insert(fingerprint, suspect::Suspect::default());
        if before.is_none() {
            self.order.push_back(fingerprint);
        }
        while self.order.len() > SUSPECTS_MAX {
            let suspects = &self.suspects;
            let is_poison = |fingerprint: &u64| {
                suspects
                    .get(fingerprint)
                    .is_some_and(|suspect| suspect.poison_until.is_some())
            };
            let oldest = self.order.iter().position(|old| !is_poison(old));
            if let Some(old) = self.order.remove(oldest.unwrap_or(0)) {
                self.suspects.remove(&old);
            }
        }
    }

    /// Discounts the crashes of a request after it has completed.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.clear();
        }
    }

    /// Returns the poison requests with the endpoints whose crashes count against
    /// them, the newest first.
    pub fn poison(&self, now: time::Duration) -> Vec<(u64, Vec<u64>)> {
        let mut poison: Vec<_> = self
            .suspects
            .iter()
            .filter_map(|(&fingerprint, suspect)| {
                let until = suspect.poison_until.filter(|&until| now < until)?;
                Some((until, fingerprint, suspect))
            })
            .collect();
        poison.sort_unstable_by_key(|&(until, fingerprint, _)| {
            core::cmp::Reverse((until, fingerprint))
        });
        let endpoints =
            |suspect: &suspect::Suspect| suspect.crashes().map(|(endpoint, _)| endpoint).collect();
        poison
            .into_iter()
            .map(|(_, fingerprint, suspect)| (fingerprint, endpoints(suspect)))
            .collect()
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

/// Time without a crash after which a suspect is clear.
const SUSPECT_TIME: time::Duration = time::Duration::from_secs(120);

/// Time for which a poison request is refused. Afterwards it is a suspect again,
/// so it can crash one more endpoint in each such period.
const POISON_TIME: time::Duration = time::Duration::from_secs(600);

/// Maximum number of suspects, of about 100 bytes each.
const SUSPECTS_MAX: usize = 4_096;

/// Maximum number of attributed crashes that are kept.
const EXPLAINED_MAX: usize = 64;
