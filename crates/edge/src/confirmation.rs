use core::time;
use std::sync::atomic;

use crate::host;

/// Age of the last confirmation above which the state of a host may lack changes
/// that other hosts have.
const STALE_AGE: time::Duration = time::Duration::from_secs(5);

/// Part of the state of a host that one call of the platform confirms.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fact {
    /// The configuration and the evacuations.
    Plan,
    /// The list of endpoints.
    Endpoints,
}

/// When the platform last confirmed the state of a host, directly or through another
/// host. Times are milliseconds since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Time of the last confirmation of each [`Fact`] plus one, or 0 for none.
    confirmed_ms: [atomic::AtomicU64; 2],
    /// Time of the last answer of the platform to this host plus one, or 0 for none.
    answered_ms: atomic::AtomicU64,
    /// Since when the host has followed the changes of the platform without a gap.
    current_since_ms: atomic::AtomicU64,
}

impl Confirmation {
    /// Returns the time since the last confirmation of the fact that was confirmed
    /// longest ago, or since the start of the process if one never was.
    pub(crate) fn age(&self, now: time::Duration) -> time::Duration {
        age(self.oldest_ms(), now)
    }

    /// Returns the time since the platform last answered this host, or since the start of
    /// the process if it never did.
    pub(crate) fn answer_age(&self, now: time::Duration) -> time::Duration {
        age(self.answered_ms.load(atomic::Ordering::Acquire), now)
    }

    /// Returns a number that changes with each confirmation of the whole state.
    pub(crate) fn oldest_ms(&self) -> u64 {
        let confirmed = self.confirmed_ms.iter();
        let confirmed = confirmed.map(|ms| ms.load(atomic::Ordering::Acquire));
        confirmed.min().unwrap_or_default()
    }

    /// Returns whether the last confirmation is recent.
    pub(crate) fn is_current(&self, now: time::Duration) -> bool {
        self.age(now) <= STALE_AGE
    }

    /// Records that the whole state was the newest at this time. After a gap, earlier
    /// changes may have been missed.
    pub(crate) fn record(&self, now: time::Duration, at: time::Duration) {
        self.record_fact(now, at, Fact::Plan);
        self.record_fact(now, at, Fact::Endpoints);
    }

    /// Records that the platform has just confirmed a fact to this host.
    pub(crate) fn record_answer(&self, now: time::Duration, fact: Fact) {
        self.record_fact(now, now, fact);
        let ms = milliseconds(now) + 1;
        self.answered_ms.fetch_max(ms, atomic::Ordering::AcqRel);
    }

    fn record_fact(&self, now: time::Duration, at: time::Duration, fact: Fact) {
        let is_first = self.oldest_ms() == 0;
        if is_first || !self.is_current(now) {
            self.restart(now);
        }
        let ms = milliseconds(at) + 1;
        self.confirmed_ms[fact as usize].fetch_max(ms, atomic::Ordering::AcqRel);
    }

    /// Records that changes before now may have been missed.
    pub(crate) fn restart(&self, now: time::Duration) {
        let ms = milliseconds(now);
        self.current_since_ms.store(ms, atomic::Ordering::Release);
    }

    /// Returns since when the host has followed the changes of the platform without a
    /// gap, or `None` if its state may lack changes now.
    pub(crate) fn current_since(&self, now: time::Duration) -> Option<time::Duration> {
        if !self.is_current(now) {
            return None;
        }
        // `record` stores it before the confirmation, so it is read after it.
        let ms = self.current_since_ms.load(atomic::Ordering::Acquire);
        Some(time::Duration::from_millis(ms))
    }

    /// Returns whether no change of the last `life` can have been missed.
    pub(crate) fn is_complete(&self, now: time::Duration, life: time::Duration) -> bool {
        self.current_since(now)
            .is_some_and(|since| now > since + life)
    }
}

impl host::Host {
    /// Records that the platform has just confirmed the configuration in force and the
    /// endpoints in use as the newest.
    pub fn confirm_plan(&self) {
        self.confirm_plan_at(self.clock.now());
    }

    /// Records that the platform has just confirmed the endpoints in use to this host.
    pub fn confirm_endpoints(&self) {
        self.confirm_fact(Fact::Endpoints);
    }

    /// Records an answer of the platform that confirms a fact. A host that is no watcher
    /// publishes what it read, because other hosts may wait for it.
    pub(crate) fn confirm_fact(&self, fact: Fact) {
        let now = self.clock.now();
        let was_due = self.plan_age(now) > self.intervals().age_max;
        self.confirmation.record_answer(now, fact);
        if was_due && self.plan_age(now) <= self.intervals().age_max {
            self.changed.notify_one();
        }
    }

    /// Records that the configuration in force and the endpoints in use were the newest at
    /// this time.
    pub(crate) fn confirm_plan_at(&self, at: time::Duration) {
        self.confirmation.record(self.clock.now(), at);
    }

    /// Returns the time since the platform last confirmed the configuration in
    /// force and the endpoints in use, or since the start of the process if it never did.
    pub(crate) fn plan_age(&self, now: time::Duration) -> time::Duration {
        self.confirmation.age(now)
    }

    /// Returns whether the platform has recently confirmed the state of this host,
    /// directly or through another host.
    pub(crate) fn is_current(&self, now: time::Duration) -> bool {
        self.confirmation.is_current(now)
    }
}

/// Returns the time since a recorded one, or since the start of the process for 0.
fn age(recorded_ms: u64, now: time::Duration) -> time::Duration {
    match recorded_ms {
        0 => now,
        ms => now.saturating_sub(time::Duration::from_millis(ms - 1)),
    }
}

const fn milliseconds(time: time::Duration) -> u64 {
    // CAST: A process does not run long enough to exceed the range.
    time.as_millis() as u64
}
