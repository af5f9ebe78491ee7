use core::time;
use std::sync::atomic;

use crate::host;

/// Age of the last confirmation above which the state of a host may lack changes
/// that other hosts have.
const STALE_AGE: time::Duration = time::Duration::from_secs(5);

/// When the platform last confirmed the state of a host, directly or through another
/// host. Times are milliseconds since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Time of the last confirmation plus one, or 0 for none.
    confirmed_ms: atomic::AtomicU64,
    /// Since when the host has followed the changes of the platform without a gap.
    current_since_ms: atomic::AtomicU64,
}

impl Confirmation {
    /// Returns the time since the last confirmation, or since the start of the process
    /// if there was none.
    pub(crate) fn age(&self, now: time::Duration) -> time::Duration {
        match self.confirmed_ms.load(atomic::Ordering::Acquire) {
            0 => now,
            ms => now.saturating_sub(time::Duration::from_millis(ms - 1)),
        }
    }

    /// Returns whether the last confirmation is recent.
    pub(crate) fn is_current(&self, now: time::Duration) -> bool {
        self.age(now) <= STALE_AGE
    }

    /// Records that the state was the newest at this time. After a gap, earlier changes
    /// may have been missed.
    pub(crate) fn record(&self, now: time::Duration, at: time::Duration) {
        let is_first = self.confirmed_ms.load(atomic::Ordering::Acquire) == 0;
        if is_first || !self.is_current(now) {
            self.restart(now);
        }
        let ms = milliseconds(at) + 1;
        self.confirmed_ms.fetch_max(ms, atomic::Ordering::AcqRel);
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
    /// Records that the platform has just confirmed the configuration in force
    /// as the newest.
    pub fn confirm_plan(&self) {
        self.confirm_plan_at(self.clock.now());
    }

    /// Records that the configuration in force was the newest at this time.
    pub(crate) fn confirm_plan_at(&self, at: time::Duration) {
        self.confirmation.record(self.clock.now(), at);
    }

    /// Returns the time since the platform last confirmed the configuration in
    /// force, or since the start of the process if it never did.
    pub(crate) fn plan_age(&self, now: time::Duration) -> time::Duration {
        self.confirmation.age(now)
    }

    /// Returns whether the platform has recently confirmed the state of this host,
    /// directly or through another host.
    pub(crate) fn is_current(&self, now: time::Duration) -> bool {
        self.confirmation.is_current(now)
    }
}

const fn milliseconds(time: time::Duration) -> u64 {
    // CAST: A process does not run long enough to exceed the range.
    time.as_millis() as u64
}
