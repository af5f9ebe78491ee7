use core::time;

/// Excess over the period above which a gap between two ticks counts as a pause.
const PAUSE_THRESHOLD: time::Duration = time::Duration::from_secs(1);

/// Detects that the process was paused, such as by a suspended machine.
#[derive(Clone, Debug)]
pub(crate) struct Detector {
    limit: time::Duration,
    last: Option<time::Duration>,
}

impl Detector {
    pub(crate) fn new(period: time::Duration) -> Self {
        Self {
            limit: period.saturating_add(PAUSE_THRESHOLD),
            last: None,
        }
    }

    /// Returns whether a pause ends now; the same pause is reported once.
    pub(crate) fn detect(&mut self, now: time::Duration) -> bool {
        let Some(last) = self.last else { return false };
        let is_paused = now.saturating_sub(last) > self.limit;
        if is_paused {
            self.last = Some(now);
        }
        is_paused
    }

    /// Records that the process ran.
    pub(crate) fn record_run(&mut self, now: time::Duration) {
        self.last = Some(now);
    }
}
