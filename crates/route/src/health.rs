use core::time;

/// Recent failures of an endpoint, with the pauses and probes that follow them.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Failure points since the last success.
    score: u32,
    last_failure: Option<time::Duration>,
    paused_until: Option<time::Duration>,
}

impl Health {
    /// Adds `points` for a failure of a request that was granted at `granted_at`.
    ///
    /// Failures of requests that were granted before the last failure belong to
    /// the same event and do not count again. `jitter` is between 0 and 1 and
    /// shortens the pause by up to half.
    pub(crate) fn record_failure(
        &mut self,
        now: time::Duration,
        granted_at: time::Duration,
        points: u32,
        jitter: f64,
    ) {
        if self.last_failure.is_some_and(|failed| granted_at <= failed) {
            return;
        }
        self.last_failure = Some(now);
        self.score = self.score.saturating_add(points);
        if self.score >= SCORE_DOWN {
            let doublings = ((self.score - SCORE_DOWN) / POINTS_UNREACHABLE).min(DOUBLINGS_MAX);
            let pause = (PAUSE_MIN * (1 << doublings)).min(PAUSE_MAX);
            self.paused_until = Some(now + pause.mul_f64(1.0 - jitter / 2.0));
        }
    }

    /// Pauses new requests until `until`, or longer if a pause already lasts longer.
    pub(crate) fn pause(&mut self, until: time::Duration) {
        self.paused_until = Some(self.paused_until.map_or(until, |old| old.max(until)));
    }

    /// Resets the score after a response and returns whether the endpoint was being
    /// probed.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_probing = self.score >= SCORE_PROBING;
        self.score = 0;
        was_probing
    }

    /// Ends a pause that is over at `now` and returns whether one ended.
    pub(crate) fn end_pause(&mut self, now: time::Duration) -> bool {
        let is_due = self.paused_until.is_some_and(|until| until <= now);
        if is_due {
            self.paused_until = None;
        }
        is_due
    }

    /// Returns the time until which the endpoint gets no requests; `None` if it is
    /// not paused.
    pub(crate) const fn paused_until(&self) -> Option<time::Duration> {
        self.paused_until
    }

    /// Returns whether the endpoint gets one request at a time.
    pub(crate) const fn is_probing(&self) -> bool {
        self.score >= SCORE_PROBING
    }

    /// Returns whether the endpoint counts as down.
    pub(crate) const fn is_down(&self) -> bool {
        self.score >= SCORE_DOWN
    }
}

/// Points of a connection failure. A single one starts a pause: the next request
/// would fail in the same way and cost its caller a retry.
pub(crate) const POINTS_UNREACHABLE: u32 = SCORE_DOWN;

/// Points of a failure after which the endpoint may have received the request.
pub(crate) const POINTS_FAILED: u32 = 1;

/// Score from which the endpoint gets one request at a time.
const SCORE_PROBING: u32 = 2;

/// Score from which each further failure pauses the endpoint.
const SCORE_DOWN: u32 = 4;

/// First pause; it doubles with each failed probe.
const PAUSE_MIN: time::Duration = time::Duration::from_millis(250);

/// Longest pause between probes.
const PAUSE_MAX: time::Duration = time::Duration::from_secs(8);

/// Maximum number of doublings of the pause.
const DOUBLINGS_MAX: u32 = 5;
