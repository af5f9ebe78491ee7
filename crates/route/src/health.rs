use core::time;

/// Failures of an endpoint and the probing that follows them.
#[derive(Debug, Default)]
pub(crate) struct Health {
    score: u32,
    failed: Option<time::Duration>,
    until: Option<time::Duration>,
}

impl Health {
    /// Notes a failure of a request that was granted at `granted`.
    ///
    /// Requests that were granted before the last failure are part of the same
    /// event and do not count again. `jitter` is between 0 and 1.
    pub(crate) fn fail(
        &mut self,
        now: time::Duration,
        granted: time::Duration,
        points: u32,
        jitter: f64,
    ) {
        if self.failed.is_some_and(|failed| granted <= failed) {
            return;
        }
        self.failed = Some(now);
        self.score = self.score.saturating_add(points);
        if self.score >= DOWN {
            let doublings = ((self.score - DOWN) / UNREACHABLE).min(DOUBLINGS_MAX);
            let pause = (PAUSE * (1 << doublings)).min(PAUSE_MAX);
            self.until = Some(now + pause.mul_f64(1.0 - jitter / 2.0));
        }
    }

    /// Keeps new work away until `until`.
    pub(crate) fn pause(&mut self, until: time::Duration) {
        self.until = Some(self.until.map_or(until, |old| old.max(until)));
    }

    /// Notes an answer and returns whether the endpoint was failing.
    pub(crate) fn succeed(&mut self) -> bool {
        let failing = self.score >= PROBE;
        self.score = 0;
        failing
    }

    /// Ends a pause whose time has come and returns whether one ended.
    pub(crate) fn wake(&mut self, now: time::Duration) -> bool {
        let due = self.until.is_some_and(|until| until <= now);
        if due {
            self.until = None;
        }
        due
    }

    /// Returns the time until which the endpoint gets no work.
    pub(crate) const fn until(&self) -> Option<time::Duration> {
        self.until
    }

    /// Returns whether the endpoint gets one request at a time.
    pub(crate) const fn probing(&self) -> bool {
        self.score >= PROBE
    }

    /// Returns whether the endpoint counts as down.
    pub(crate) const fn down(&self) -> bool {
        self.score >= DOWN
    }
}

/// Points of a connection that could not be made. One is enough for a pause:
/// the next request would fail in the same way and cost its caller a retry.
pub(crate) const UNREACHABLE: u32 = DOWN;

/// Points of a failure after the request may have been received.
pub(crate) const FAILED: u32 = 1;

/// Points from which the endpoint gets one request at a time.
const PROBE: u32 = 2;

/// Points from which the endpoint gets no request for a while.
const DOWN: u32 = 4;

/// First pause; it doubles with each failed probe.
const PAUSE: time::Duration = time::Duration::from_millis(250);

/// Longest pause between probes.
const PAUSE_MAX: time::Duration = time::Duration::from_secs(8);

/// Doublings of the pause at most.
const DOUBLINGS_MAX: u32 = 5;
