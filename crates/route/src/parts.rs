//! Prompt parts that crash the endpoints that begin to answer on them.
//!
//! Requests that share a part may be different in everything else, so crashes are
//! counted by part. A part is poison after crashes of several endpoints under
//! several requests, without any complete answer on it. Parts of one prompt crash
//! together; which of them is to blame follows from the set of crashes and of
//! complete answers alone, so hosts that exchange both agree.

use core::cmp;
use core::time;
use std::collections;

use rustc_hash::{FxHashMap, FxHashSet};

/// A request that an endpoint was about to answer, or had just begun to, when it
/// crashed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Crash {
    /// The endpoint; differs between the starts of one.
    pub endpoint: u64,
    /// The request; equal for its repeats.
    pub request: u64,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<u64>,
}

/// A change of the verdict on a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The part.
    pub part: u64,
    /// Whether requests with it are refused from now on.
    pub is_poison: bool,
}

/// A crash and when this process learned of it.
#[derive(Clone, Debug)]
struct Known {
    endpoint: u64,
    request: u64,
    /// The parts that are known of the prompt, ordered by position.
    places: Vec<Place>,
    at: time::Duration,
}

/// A part in a prompt.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    position: usize,
    part: u64,
}

impl Known {
    fn contains(&self, part: u64) -> bool {
        self.places.iter().any(|place| place.part == part)
    }

    /// Adds parts from this position of the prompt on; returns whether one was new.
    /// Evidence against one part does not state its position, which is known later.
    fn add(&mut self, offset: usize, parts: &[u64]) -> bool {
        let known: FxHashMap<u64, usize> = self
            .places
            .iter()
            .enumerate()
            .map(|(index, place)| (place.part, index))
            .collect();
        let mut is_new = false;
        for (index, &part) in parts.iter().enumerate() {
            let position = offset + index;
            match known.get(&part).map(|&index| &mut self.places[index]) {
                Some(place) => place.position = place.position.max(position),
                None => {
                    self.places.push(Place { position, part });
                    is_new = true;
                }
            }
        }
        self.places.sort_unstable();
        is_new
    }
}

/// Crashes that count against a part.
#[derive(Debug, Default)]
struct Tally {
    /// Furthest position of the part in a prompt.
    position: usize,
    /// Places in the list of crashes, with the position of the part in that prompt.
    runs: Vec<(usize, usize)>,
}

/// Prompt parts that were in flight at crashes of endpoints.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Oldest first.
    crashes: collections::VecDeque<Known>,
    /// Time of the last complete answer on a part.
    completed: FxHashMap<u64, time::Duration>,
    /// Number of endpoints whose crashes count against a part.
    suspects: FxHashMap<u64, usize>,
    poison: FxHashSet<u64>,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Returns a quarantine without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash that may be reported any number of times; returns whether it, or
    /// one of its parts, was new. Parts on which an answer was complete shortly before are
    /// left out.
    pub fn record(&mut self, now: time::Duration, crash: Crash) -> bool {
        self.record_from(now, 0, &crash)
    }

    /// Records the parts of a crash from this position of the prompt on. A prompt may have
    /// more parts than one message.
    pub fn record_from(&mut self, now: time::Duration, offset: usize, crash: &Crash) -> bool {
        if crash.parts.is_empty() {
            return false;
        }
        let known = self
            .crashes
            .iter_mut()
            .find(|known| known.endpoint == crash.endpoint && known.request == crash.request);
        let is_new = match known {
            Some(known) => known.add(offset, &crash.parts),
            None => {
                let mut known = Known {
                    endpoint: crash.endpoint,
                    request: crash.request,
                    places: Vec::new(),
                    at: now,
                };
                known.add(offset, &crash.parts);
                self.crashes.push_back(known);
                true
            }
        };
        if is_new {
            self.evict_excess();
            self.judge();
        }
        is_new
    }

    /// Removes the oldest crashes while there are too many of them or of their parts, but
    /// never the newest one. Evidence against poison parts goes last.
    fn evict_excess(&mut self) {
        let mut places: usize = self.crashes.iter().map(|known| known.places.len()).sum();
        while self.crashes.len() > 1 && (self.crashes.len() > CRASHES_MAX || places > PLACES_MAX) {
            let is_idle = |known: &Known| {
                let mut parts = known.places.iter().map(|place| place.part);
                !parts.any(|part| self.poison.contains(&part))
            };
            let older = self.crashes.len() - 1;
            let oldest = self.crashes.iter().take(older).position(is_idle);
            if let Some(removed) = self.crashes.remove(oldest.unwrap_or(0)) {
                places -= removed.places.len();
            }
        }
    }

    /// Returns the parts against which a crash counts that happens at `now`.
    pub fn suspicious(&self, now: time::Duration, parts: &[u64]) -> Vec<u64> {
        let parts = parts.iter().copied();
        parts.filter(|&part| self.counts(now, part)).collect()
    }

    /// Records a complete answer on these parts. Returns those that were close to a
    /// verdict or poison, which other hosts have to know.
    pub fn complete(
        &mut self,
        now: time::Duration,
        parts: impl IntoIterator<Item = u64>,
    ) -> Vec<u64> {
        let mut cleared = Vec::new();
        let mut is_suspected = false;
        for part in parts {
            let endpoints = self.suspects.get(&part).copied().unwrap_or(0);
            is_suspected |= endpoints > 0;
            if endpoints + 1 >= POISON_CRASHES {
                cleared.push(part);
            }
            if self.completed.len() < COMPLETED_MAX || self.completed.contains_key(&part) {
                self.completed.insert(part, now);
            }
        }
        if is_suspected {
            self.judge();
        }
        cleared
    }

    /// Records a complete answer on a part at another host; `at` is when it ended.
    pub fn clear(&mut self, at: time::Duration, part: u64) {
        let completed = self.completed.entry(part).or_insert(at);
        *completed = at.max(*completed);
        if self.suspects.contains_key(&part) {
            self.judge();
        }
    }

    /// Returns the time of the last complete answer on a part.
    pub fn completed(&self, part: u64) -> Option<time::Duration> {
        self.completed.get(&part).copied()
    }

    /// Returns the first of these parts that is poison.
    pub fn find_poison(&self, parts: impl IntoIterator<Item = u64>) -> Option<u64> {
        if self.poison.is_empty() {
            return None;
        }
        parts.into_iter().find(|part| self.poison.contains(part))
    }

    /// Returns the poison parts.
    pub fn poison(&self) -> impl Iterator<Item = u64> {
        self.poison.iter().copied()
    }

    /// Returns crashes that suffice to convict a poison part elsewhere, if the
    /// receiver knows no complete answer on it.
    pub fn evidence(&self, part: u64) -> Vec<Crash> {
        let (mut endpoints, mut requests) = (FxHashSet::default(), FxHashSet::default());
        let mut evidence = Vec::new();
        for known in self.counted(part) {
            if endpoints.contains(&known.endpoint) || requests.contains(&known.request) {
                continue;
            }
            endpoints.insert(known.endpoint);
            requests.insert(known.request);
            evidence.push(Crash {
                endpoint: known.endpoint,
                request: known.request,
                parts: vec![part],
            });
            if evidence.len() == POISON_CRASHES {
                break;
            }
        }
        evidence
    }

    /// Takes the changes of verdicts since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        core::mem::take(&mut self.changes)
    }

    /// Removes what no longer counts at `now`.
    pub fn evict_expired(&mut self, now: time::Duration) {
        let before = self.crashes.len();
        self.crashes
            .retain(|known| now.saturating_sub(known.at) < CRASH_TIME);
        if self.crashes.len() < before {
            self.judge();
        }
        let suspects = &self.suspects;
        let oldest = self.crashes.front().map(|known| known.at);
        self.completed.retain(|part, &mut at| {
            let is_recent = now.saturating_sub(at) < CLEAR_TIME;
            is_recent || oldest.is_some_and(|oldest| at >= oldest) || suspects.contains_key(part)
        });
    }

    /// Returns whether a crash at this time counts against a part.
    fn counts(&self, at: time::Duration, part: u64) -> bool {
        self.completed(part)
            .is_none_or(|completed| at > completed + CLEAR_TIME)
    }

    /// Returns the crashes that count against a part.
    fn counted(&self, part: u64) -> impl Iterator<Item = &Known> {
        self.crashes
            .iter()
            .filter(move |known| self.counts(known.at, part) && known.contains(part))
    }

    /// Derives the verdicts from the crashes and the complete answers.
    ///
    /// Later parts of a prompt are judged first, because fewer requests share them.
    /// The crashes that one of them explains count as one against the parts before
    /// it. A part that is convicted in spite of that explains in turn the later
    /// parts that never crashed without it.
    fn judge(&mut self) {
        let tallies = self.tallies();
        let mut order: Vec<(cmp::Reverse<usize>, u64)> = tallies
            .iter()
            .map(|(&part, tally)| (cmp::Reverse(tally.position), part))
            .collect();
        order.sort_unstable();
        let before = core::mem::take(&mut self.poison);
        self.suspects.clear();
        let mut causes = vec![None; self.crashes.len()];
        for (_, part) in order {
            let count = self.count(&tallies[&part].runs, &causes);
            self.suspects.insert(part, count);
            if count >= POISON_CRASHES {
                let poison = core::mem::take(&mut self.poison);
                let poison = poison.into_iter().filter(|&id| !self.implies(part, id));
                self.poison = poison.collect();
                self.poison.insert(part);
                causes = self.causes();
            }
        }
        let mut changed: Vec<u64> = self.poison.symmetric_difference(&before).copied().collect();
        changed.sort_unstable();
        self.changes.extend(changed.into_iter().map(|part| Change {
            part,
            is_poison: self.poison.contains(&part),
        }));
    }

    /// Returns whether each crash that counts against the part `later` was under a
    /// prompt in which `earlier` precedes it.
    fn implies(&self, earlier: u64, later: u64) -> bool {
        self.counted(later).all(|known| {
            let parts = known.places.iter().map(|place| place.part);
            parts
                .take_while(|&part| part != later)
                .any(|part| part == earlier)
        })
    }

    /// Returns the last poison part of each crash.
    fn causes(&self) -> Vec<Option<Place>> {
        let last = |known: &Known| {
            let mut places = known.places.iter().rev();
            places
                .find(|place| self.poison.contains(&place.part))
                .copied()
        };
        self.crashes.iter().map(last).collect()
    }

    fn tallies(&self) -> FxHashMap<u64, Tally> {
        let mut tallies: FxHashMap<u64, Tally> = FxHashMap::default();
        for (index, known) in self.crashes.iter().enumerate() {
            for place in &known.places {
                if !self.counts(known.at, place.part) {
                    continue;
                }
                let tally = tallies.entry(place.part).or_default();
                tally.position = tally.position.max(place.position);
                tally.runs.push((index, place.position));
            }
        }
        tallies
    }

    /// Returns the number of crashes that count against a part, at different
    /// endpoints and under different requests. Those that a later part explains count
    /// as one. `causes` are the last poison parts of all crashes.
    fn count(&self, runs: &[(usize, usize)], causes: &[Option<Place>]) -> usize {
        let (mut explained, mut later) = (FxHashSet::default(), FxHashSet::default());
        for &(run, position) in runs {
            if let Some(cause) = causes[run].filter(|cause| cause.position > position) {
                explained.insert(self.crashes[run].endpoint);
                later.insert(cause.part);
            }
        }
        let runs = runs.iter().map(|&(run, _)| &self.crashes[run]);
        let others = runs.filter(|known| !explained.contains(&known.endpoint));
        let (endpoints, requests): (FxHashSet<u64>, FxHashSet<u64>) =
            others.map(|known| (known.endpoint, known.request)).unzip();
        endpoints.len().min(requests.len()) + later.len()
    }
}

/// Crashes after which a part is poison.
const POISON_CRASHES: usize = 3;

/// Time after which a crash no longer counts. A part that was poison can then crash
/// as many endpoints again.
const CRASH_TIME: time::Duration = time::Duration::from_secs(600);

/// Time after a complete answer on a part in which crashes do not count against it.
/// When several endpoints crash at once, popular parts were in flight at all of them.
const CLEAR_TIME: time::Duration = time::Duration::from_secs(10);

/// Maximum number of crashes that are kept.
const CRASHES_MAX: usize = 512;

/// Maximum number of parts that are kept of all crashes, of 16 bytes each. The newest crash
/// is kept whole.
const PLACES_MAX: usize = 16_384;

/// Maximum number of parts whose complete answers are known.
const COMPLETED_MAX: usize = 8_192;
