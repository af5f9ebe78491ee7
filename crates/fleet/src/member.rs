use core::time;

use crate::entry;

/// Votes kept per host; two are enough for a verdict.
const VOTES_MAX: usize = 4;

/// Longest gap between two digests from the same host that follow each other,
/// with one of them lost.
const DIRECT_GAP: time::Duration = time::Duration::from_millis(2_500);

/// What another host said about a host that it suspects.
#[derive(Clone, Debug)]
pub(crate) struct Vote {
    pub(crate) voter: String,
    pub(crate) counter: u64,
    pub(crate) at: time::Duration,
}

/// What this observer knows of another host.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// The last life sign; `phase` includes the platform's mark and
    /// `suspected` is the own suspicion.
    pub(crate) entry: entry::Entry,
    /// Phase that the host itself states.
    pub(crate) stated: entry::Phase,
    /// When the counter or the incarnation last advanced.
    pub(crate) advanced: time::Duration,
    /// Whether that was since the last pause of this process.
    pub(crate) confirmed: bool,
    /// When something other than the counter last changed.
    pub(crate) changed: time::Duration,
    /// When the last digest came from the host itself.
    pub(crate) direct: time::Duration,
    /// Digests from the host itself that followed each other.
    pub(crate) streak: u32,
    /// Whether the own suspicion is told to every host.
    pub(crate) is_loud: bool,
    /// Since when the host is dead here.
    pub(crate) dead: Option<time::Duration>,
    /// Who suspects the host.
    pub(crate) votes: Vec<Vote>,
}

impl Member {
    /// Returns a member with its first life sign.
    pub(crate) fn new(now: time::Duration, entry: &entry::Entry) -> Self {
        let mut entry = entry.clone();
        entry.suspected = false;
        Self {
            stated: entry.phase,
            entry,
            advanced: now,
            confirmed: true,
            changed: now,
            direct: time::Duration::ZERO,
            streak: 0,
            is_loud: false,
            dead: None,
            votes: Vec::new(),
        }
    }

    /// Takes a life sign if it is newer than the last one, and returns whether
    /// the host has come back by it, from the dead or with a new lifetime.
    pub(crate) fn update(&mut self, now: time::Duration, entry: &entry::Entry) -> bool {
        if entry.incarnation < self.entry.incarnation {
            return false;
        }
        if entry.incarnation > self.entry.incarnation {
            *self = Self::new(now, entry);
            return true;
        }
        if entry.phase == entry::Phase::Leaving && self.stated == entry::Phase::Up {
            self.stated = entry::Phase::Leaving;
            self.entry.phase = entry::Phase::Leaving;
            self.changed = now;
        }
        if entry.counter <= self.entry.counter {
            return false;
        }
        if entry.suspected {
            // The sender has waited for a newer counter in vain, so this one
            // is no sign that the host lives now.
            self.entry.counter = entry.counter;
            return false;
        }
        let was_dead = self.dead.is_some();
        self.advance(now, entry.counter);
        was_dead
    }

    /// Notes that a digest came from the host itself.
    pub(crate) fn note_direct(&mut self, now: time::Duration) {
        let follows = now.saturating_sub(self.direct) <= DIRECT_GAP;
        self.streak = if follows {
            self.streak.saturating_add(1)
        } else {
            1
        };
        self.direct = now;
    }

    /// Notes that another host suspects this one.
    pub(crate) fn note_vote(&mut self, now: time::Duration, voter: &str, entry: &entry::Entry) {
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

    /// Sets the own suspicion.
    pub(crate) fn suspect(&mut self, now: time::Duration, suspected: bool, is_loud: bool) {
        if self.entry.suspected != suspected || self.is_loud != is_loud {
            self.changed = now;
        }
        self.entry.suspected = suspected;
        self.is_loud = is_loud;
    }

    /// Declares the host dead.
    pub(crate) fn bury(&mut self, now: time::Duration) {
        self.suspect(now, true, true);
        self.dead = Some(now);
        self.votes.clear();
    }

    /// Starts the clocks again after a pause of this process.
    pub(crate) fn restart(&mut self, now: time::Duration) {
        if self.dead.is_some() {
            return;
        }
        self.suspect(now, false, false);
        self.advanced = now;
        self.confirmed = false;
        self.streak = 0;
        self.votes.clear();
    }

    /// Returns the time without progress of the counter.
    pub(crate) fn silence(&self, now: time::Duration) -> time::Duration {
        now.saturating_sub(self.advanced)
    }

    /// Returns the entry as it is passed on.
    pub(crate) fn passed_on(&self, alarm: bool) -> entry::Entry {
        let mut entry = self.entry.clone();
        entry.phase = self.stated;
        entry.suspected = self.entry.suspected && (alarm || self.is_loud);
        entry
    }

    fn advance(&mut self, now: time::Duration, counter: u64) {
        self.entry.counter = counter;
        self.advanced = now;
        self.confirmed = true;
        if self.entry.suspected {
            self.suspect(now, false, false);
        }
        self.dead = None;
        self.votes.clear();
    }
}
