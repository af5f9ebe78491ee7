use core::time;

/// Weight of one answer in the share of failed ones.
const STEP: f64 = 0.12;

/// Time after which half of an unconfirmed share of failures is forgotten, so
/// that an endpoint without requests is tried again.
const HALF_LIFE_S: f64 = 3.0;

/// Pause after the first failure to reach an endpoint. A crashed process is
/// back within seconds.
const DOWN_MIN: time::Duration = time::Duration::from_millis(300);

/// Longest pause after failures to reach an endpoint.
const DOWN_MAX: time::Duration = time::Duration::from_millis(1_500);

/// For how long an endpoint that had no room is passed over.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Recent failures of one endpoint, as this host has seen them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fault {
    failed: f64,
    updated: time::Duration,
    unreachable: u32,
    down_until: Option<time::Duration>,
    full_until: Option<time::Duration>,
}

impl Fault {
    /// Notes an answer.
    pub(crate) fn note(&mut self, now: time::Duration, is_failure: bool) {
        let failed = self.failed(now);
        let value = if is_failure { 1.0 } else { 0.0 };
        self.failed = failed + (value - failed) * STEP;
        self.updated = now;
        if !is_failure {
            self.reached();
        }
    }

    /// Notes that a connection was established.
    pub(crate) fn reached(&mut self) {
        self.unreachable = 0;
        self.down_until = None;
    }

    /// Notes that the endpoint could not be reached.
    pub(crate) fn unreachable(&mut self, now: time::Duration) {
        let pause = DOWN_MIN * 2u32.saturating_pow(self.unreachable.min(8));
        self.unreachable += 1;
        self.down_until = Some(now + pause.min(DOWN_MAX));
    }

    /// Notes that the endpoint had no room.
    pub(crate) fn full(&mut self, now: time::Duration) {
        self.full_until = Some(now + FULL_PAUSE);
    }

    /// Returns the share of failed answers.
    pub(crate) fn failed(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.failed * 0.5f64.powf(age / HALF_LIFE_S)
    }

    pub(crate) fn is_down(&self, now: time::Duration) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_full(&self, now: time::Duration) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}
