use std::time;

/// Limits how often a repeated event is logged.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    last_logged_at: Option<time::Instant>,
    /// Events since then.
    count: u64,
}

impl Throttle {
    /// Records one event. If it is to be logged, returns the number of events
    /// since the last one that was logged, including this one. Two lines are at least
    /// `interval` apart.
    pub(crate) fn record(&mut self, now: time::Instant, interval: time::Duration) -> Option<u64> {
        self.count += 1;
        if self
            .last_logged_at
            .is_some_and(|last| now - last < interval)
        {
            return None;
        }
        self.last_logged_at = Some(now);
        Some(core::mem::take(&mut self.count))
    }
}
