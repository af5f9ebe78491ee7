use core::time;

/// Gap beyond the period above which the process counts as paused.
const PAUSE: time::Duration = time::Duration::from_secs(1);

/// Detects that the process did not run for a while.
#[derive(Clone, Debug)]
pub(crate) struct Pause {
    limit: time::Duration,
    last: Option<time::Duration>,
}

impl Pause {
    pub(crate) fn new(period: time::Duration) -> Self {
        Self {
            limit: period.saturating_add(PAUSE),
            last: None,
        }
    }

    /// Returns whether a pause ends now.
    pub(crate) fn ends(&mut self, now: time::Duration) -> bool {
        let Some(last) = self.last else { return false };
        let paused = now.saturating_sub(last) > self.limit;
        if paused {
            self.last = Some(now);
        }
        paused
    }

    /// Records that the process ran.
    pub(crate) fn ran(&mut self, now: time::Duration) {
        self.last = Some(now);
    }
}
