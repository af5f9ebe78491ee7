use core::time;

use crate::entry;

/// Votes kept per host; the own suspicion and one vote are enough for a death.
const VOTES_MAX: usize = 4;

/// Longest gap between two digests from the same host that count as consecutive.
/// It allows for one lost digest.
const DIRECT_GAP: time::Duration = time::Duration::from_millis(2_500);

/// The suspicion of a host by another host.
#[derive(Clone, Debug)]
pub(crate) struct Vote {
    pub(crate) voter: String,
    /// Counter of the suspected host that the voter knows.
    pub(crate) counter: u64,
    pub(crate) at: time::Duration,
}

/// The state of another host as seen by this observer.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Newest known entry. `phase` takes the platform's list into account and
    /// `suspected` is the suspicion by this observer.
    pub(crate) entry: entry::Entry,
    /// Phase that the host itself announces.
    pub(crate) announced_phase: entry::Phase,
    /// Time at which the counter or the incarnation last advanced.
    pub(crate) advanced_at: time::Duration,
    /// Whether it has advanced since the last pause of this process.
    pub(crate) is_confirmed: bool,
    /// Time at which something other than the counter last changed.
    pub(crate) changed_at: time::Duration,
    /// Time of the last digest from the host itself.
    pub(crate) direct_at: time::Duration,
    /// Number of consecutive digests from the host itself.
    pub(crate) consecutive_direct: u32,
    /// Whether the suspicion by this observer is gossiped to every host; otherwise
    /// only the monitors of the host receive it.
    pub(crate) is_public: bool,
    /// Time at which the host was declared dead here; `None` if it is not dead.
    pub(crate) dead_since: Option<time::Duration>,
    /// Suspicions by other hosts.
    pub(crate) votes: Vec<Vote>,
}

impl Member {
    /// Returns the member for a host that was not known.
    pub(crate) fn new(now: time::Duration, entry: &entry::Entry) -> Self {
        let mut entry = entry.clone();
        entry.suspected = false;
        Self {
            announced_phase: entry.phase,
            entry,
            advanced_at: now,
            is_confirmed: true,
            changed_at: now,
            direct_at: time::Duration::ZERO,
            consecutive_direct: 0,
            is_public: false,
            dead_since: None,
            votes: Vec::new(),
        }
    }

    /// Applies an entry if it is newer than the known one and returns whether the
    /// host has returned by it: it was dead, or its lifetime is new.
    pub(crate) fn update(&mut self, now: time::Duration, entry: &entry::Entry) -> bool {
        if entry.incarnation < self.entry.incarnation {
            return false;
        }
        if entry.incarnation > self.entry.incarnation {
            *self = Self::new(now, entry);
            return true;
        }
        if entry.phase == entry::Phase::Leaving {
            self.mark_leaving(now);
        }
        if entry.counter <= self.entry.counter {
            return false;
        }
        if entry.suspected {
            // The sender suspects the host because this counter has stopped,
            // so it does not show that the host is live now.
            self.entry.counter = entry.counter;
            return false;
        }
        let was_dead = self.dead_since.is_some();
        self.advance(now, entry.counter);
        was_dead
    }

    /// Records that the host announces that it is leaving. A lifetime does not return
    /// from this phase.
    pub(crate) fn mark_leaving(&mut self, now: time::Duration) {
        if self.announced_phase == entry::Phase::Up {
            self.announced_phase = entry::Phase::Leaving;
            self.entry.phase = entry::Phase::Leaving;
            self.changed_at = now;
        }
    }

    /// Records a digest from the host itself.
    pub(crate) fn record_direct(&mut self, now: time::Duration) {
        let is_consecutive = now.saturating_sub(self.direct_at) <= DIRECT_GAP;
        self.consecutive_direct = if is_consecutive {
            self.consecutive_direct.saturating_add(1)
        } else {
            1
        };
        self.direct_at = now;
    }

    /// Records that another host suspects this one; its earlier vote is replaced.
    pub(crate) fn record_vote(&mut self, now: time::Duration, voter: &str, entry: &entry::Entry) {
        if entry.incarnation != self.entry.incarnation {
            return;
        }
        self.votes.retain(|vote| vote.voter != voter);
        if self.votes.len() == VOTES_MAX {
            self.votes.remove(0);
        }
        self.votes.push(Vote {
            voter: voter.to_owned(),
            counter: entry.counter,
            at: now,
        });
    }

    /// Sets the suspicion by this observer.
    pub(crate) fn suspect(&mut self, now: time::Duration, suspected: bool, is_public: bool) {
        if self.entry.suspected != suspected || self.is_public != is_public {
            self.changed_at = now;
        }
        self.entry.suspected = suspected;
        self.is_public = is_public;
    }

    /// Declares the host dead, which is public.
    pub(crate) fn mark_dead(&mut self, now: time::Duration) {
        self.suspect(now, true, true);
        self.dead_since = Some(now);
        self.votes.clear();
    }

    /// Restarts the failure detection after a pause of this process.
    pub(crate) fn reset(&mut self, now: time::Duration) {
        if self.dead_since.is_some() {
            return;
        }
        self.suspect(now, false, false);
        self.advanced_at = now;
        self.is_confirmed = false;
        self.consecutive_direct = 0;
        self.votes.clear();
    }

    /// Returns the time since the counter last advanced.
    pub(crate) fn heartbeat_age(&self, now: time::Duration) -> time::Duration {
        now.saturating_sub(self.advanced_at)
    }

    /// Returns the entry as it is gossiped.
    ///
    /// A suspicion that is not public is included only for a monitor.
    pub(crate) fn to_gossip(&self, for_monitor: bool) -> entry::Entry {
        let mut entry = self.entry.clone();
        entry.phase = self.announced_phase;
        entry.suspected = self.entry.suspected && (for_monitor || self.is_public);
        entry
    }

    fn advance(&mut self, now: time::Duration, counter: u64) {
        self.entry.counter = counter;
        self.advanced_at = now;
        self.is_confirmed = true;
        if self.entry.suspected {
            self.suspect(now, false, false);
        }
        self.dead_since = None;
        self.votes.clear();
    }
}
