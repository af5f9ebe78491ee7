use core::time;

/// Longest pause that is kept.
const PAUSE_MAX: time::Duration = time::Duration::from_secs(3_600);

/// Time after a pause in which requests are sent one by one.
const RAMP_TIME: time::Duration = time::Duration::from_secs(1);

/// Time between two requests of this host then.
const RAMP_GAP: time::Duration = time::Duration::from_millis(100);

/// A pause for which an endpoint has asked this host.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Pause {
    until: Option<time::Duration>,
    /// When the next request may be sent after the pause.
    next_at: time::Duration,
}

impl Pause {
    /// Begins a pause, unless a longer one is in force.
    pub(crate) fn begin(&mut self, now: time::Duration, pause: time::Duration) {
        let until = now + pause.min(PAUSE_MAX);
        if self.until.is_none_or(|known| known < until) {
            self.until = Some(until);
            self.next_at = until;
        }
    }

    /// Records that a request is sent.
    pub(crate) fn take(&mut self, now: time::Duration) {
        self.next_at = now + RAMP_GAP;
    }

    /// Returns the time until the next request may be sent after a pause, zero for now.
    pub(crate) fn ramp(&self, now: time::Duration) -> time::Duration {
        match self.until {
            Some(until) if now < until + RAMP_TIME => self.next_at.saturating_sub(now),
            _ => time::Duration::ZERO,
        }
    }

    /// Returns the time left of the pause, zero if there is none.
    pub(crate) fn left(&self, now: time::Duration) -> time::Duration {
        self.until.unwrap_or_default().saturating_sub(now)
    }
}
