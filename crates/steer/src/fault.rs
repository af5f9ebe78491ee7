use core::time;

use xxhash_rust::xxh3;

/// Weight of one answer in the moving average of failures.
const ANSWER_WEIGHT: f64 = 0.12;

/// Half-life of the failure share in seconds, so that an endpoint that gets no
/// requests because of its failures is tried again.
const HALF_LIFE_S: f64 = 3.0;

/// Back-off after the first failure to reach an endpoint. A crashed process is
/// usually restarted within seconds.
const DOWN_PAUSE_MIN: time::Duration = time::Duration::from_millis(300);

/// Longest back-off after repeated failures to reach an endpoint.
const DOWN_PAUSE_MAX: time::Duration = time::Duration::from_millis(1_500);

/// Time for which an endpoint that refused a request for lack of room is
/// avoided.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Failures of one endpoint that this host has observed.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Fault {
    failure_share: f64,
    updated: time::Duration,
    connect_failures: u32,
    down_until: Option<time::Duration>,
    full_until: Option<time::Duration>,
}

impl Fault {
    /// Records whether an answer was a failure.
    pub(crate) fn record(&mut self, now: time::Duration, is_failure: bool) {
        let share = self.failure_share(now);
        let value = if is_failure { 1.0 } else { 0.0 };
        self.failure_share = share + (value - share) * ANSWER_WEIGHT;
        self.updated = now;
        if !is_failure {
            self.mark_reachable();
        }
    }

    /// Resets the back-off after a connection was established.
    pub(crate) fn mark_reachable(&mut self) {
        self.connect_failures = 0;
        self.down_until = None;
    }

    /// Returns the number of failures since a connection was established.
    pub(crate) const fn connect_failures(&self) -> u32 {
        self.connect_failures
    }

    /// Starts or doubles the back-off after the endpoint could not be reached.
    pub(crate) fn mark_unreachable(&mut self, now: time::Duration) {
        let pause = DOWN_PAUSE_MIN * 2u32.saturating_pow(self.connect_failures.min(8));
        self.connect_failures += 1;
        self.down_until = Some(now + pause.min(DOWN_PAUSE_MAX));
    }

    /// Records that the endpoint had no room. `pause` is the time for which it is avoided,
    /// if not the usual one.
    pub(crate) fn mark_full(&mut self, now: time::Duration, pause: Option<time::Duration>) {
        let pause = pause.map_or(FULL_PAUSE, |pause| pause.mul_f64(spread(now)));
        self.full_until = Some(now + pause);
    }

    /// Returns the decayed share of failed answers, from 0 to 1.
    pub(crate) fn failure_share(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.failure_share * 0.5f64.powf(age / HALF_LIFE_S)
    }

    pub(crate) fn is_down(&self, now: time::Duration) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_full(&self, now: time::Duration) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}

/// Returns a factor from 0.5 to 1.5 that differs between hosts and refusals, so that hosts
/// do not come back together.
fn spread(now: time::Duration) -> f64 {
    let hash = xxh3::xxh3_64(&now.as_nanos().to_le_bytes());
    // CAST: The share is rounded.
    0.5 + hash as f64 / u64::MAX as f64
}
