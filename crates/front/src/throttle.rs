use std::time;

/// Shortest time between two lines.
const INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Bounds how often a repeated event is logged.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    last: Option<time::Instant>,
    since: u64,
}

impl Throttle {
    /// Notes one event. If it is to be logged, returns the number of events
    /// since the last one that was, itself included.
    pub(crate) fn note(&mut self, now: time::Instant) -> Option<u64> {
        self.since += 1;
        if self.last.is_some_and(|last| now - last < INTERVAL) {
            return None;
        }
        self.last = Some(now);
        Some(core::mem::take(&mut self.since))
    }
}
