use core::time;

/// Adaptive concurrency limit of one endpoint, with additive increase and
/// multiplicative decrease.
#[derive(Debug)]
pub(crate) struct Limit {
    /// Maximum number of concurrent requests.
    value: f64,
    /// Whether the limit grows by a factor, which it does until the first decrease.
    is_slow_start: bool,
    /// Numbers of requests and of misses of each class in the current window.
    counts: Vec<(u32, u32)>,
    /// Whether the limit was reached in the current window.
    is_saturated: bool,
    window_start: time::Duration,
    last_decrease: time::Duration,
}

impl Limit {
    pub(crate) fn new(now: time::Duration, slots: u32) -> Self {
        Self {
            value: f64::from(slots),
            is_slow_start: true,
            counts: Vec::new(),
            is_saturated: false,
            window_start: now,
            last_decrease: time::Duration::ZERO,
        }
    }

    pub(crate) const fn get(&self) -> f64 {
        self.value
    }

    /// Records that the limit was reached.
    pub(crate) const fn record_saturation(&mut self) {
        self.is_saturated = true;
    }

    /// Records whether a request that was granted at `granted_at` missed its target.
    ///
    /// Requests from before the last decrease are ignored, because the limit was
    /// higher then.
    pub(crate) fn observe(&mut self, granted_at: time::Duration, class: usize, is_miss: bool) {
        if granted_at < self.last_decrease {
            return;
        }
        if self.counts.len() <= class {
            self.counts.resize(class + 1, (0, 0));
        }
        let (seen, missed) = &mut self.counts[class];
        *seen += 1;
        *missed += u32::from(is_miss);
    }

    /// Lowers the limit after a load report of the time `at` with queued requests,
    /// but not below the number of running ones.
    pub(crate) fn decrease_on_queueing(&mut self, at: time::Duration, running: u32) {
        if at >= self.last_decrease {
            let least = f64::from(running.max(1));
            self.value = self.value.min((self.value * QUEUEING_FACTOR).max(least));
            self.is_slow_start = false;
        }
    }

    /// Lowers the limit to `in_flight` after the endpoint refused a further request.
    pub(crate) fn decrease_to(&mut self, now: time::Duration, in_flight: u32) {
        self.value = self.value.min(f64::from(in_flight.max(1)));
        self.is_slow_start = false;
        self.last_decrease = now;
    }

    /// Raises the limit to `slots` after the endpoint has grown.
    pub(crate) fn raise(&mut self, slots: u32) {
        self.value = self.value.max(f64::from(slots));
        self.is_slow_start = true;
    }

    /// Closes the current window if it is over and adjusts the limit.
    pub(crate) fn update(&mut self, now: time::Duration, slots: u32) {
        let slots = f64::from(slots);
        self.value = self.value.min(slots);
        let age = now.saturating_sub(self.window_start);
        let seen: u32 = self.counts.iter().map(|&(seen, _)| seen).sum();
        if age < WINDOW || (seen < OBSERVATIONS_MIN && age < WINDOW_MAX) {
            return;
        }
        if self.counts.iter().any(|&count| misses_too_often(count)) {
            let least = (slots * SLOT_SHARE_MIN).max(1.0);
            self.value = (self.value * DECREASE_FACTOR).max(least.min(slots));
            self.is_slow_start = false;
            self.last_decrease = now;
        } else if self.is_saturated && seen > 0 {
            let step = if self.is_slow_start {
                self.value / 2.0
            } else {
                INCREASE_SLOTS
            };
            self.value = (self.value + step).min(slots);
        }
        self.counts.fill((0, 0));
        self.is_saturated = false;
        self.window_start = now;
    }
}

/// Returns whether a class with these numbers of requests and misses missed its
/// target too often.
fn misses_too_often((seen, missed): (u32, u32)) -> bool {
    let is_few = seen <= 2 && missed == seen;
    let is_many = f64::from(missed) > MISS_RATIO_MAX * f64::from(seen);
    missed > 0 && is_many && (missed > 1 || is_few)
}

/// Factor of a decrease when the endpoint queues requests.
const QUEUEING_FACTOR: f64 = 0.7;

/// Shortest window.
const WINDOW: time::Duration = time::Duration::from_millis(250);

/// Time after which a window is closed even with few observations.
const WINDOW_MAX: time::Duration = time::Duration::from_secs(1);

/// Observations that allow a window to close before `WINDOW_MAX`.
const OBSERVATIONS_MIN: u32 = 4;

/// Share of misses above which the limit is lowered; classes aim to meet their
/// target for 95 in 100 requests.
const MISS_RATIO_MAX: f64 = 0.1;

/// Factor of a decrease after too many misses.
const DECREASE_FACTOR: f64 = 0.85;

/// Increase of the limit after a window without too many misses.
const INCREASE_SLOTS: f64 = 1.0;

/// Share of the slots below which misses do not lower the limit. A target that
/// cannot be met at any limit would otherwise cost nearly all throughput.
const SLOT_SHARE_MIN: f64 = 0.125;
