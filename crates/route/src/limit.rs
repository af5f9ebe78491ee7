use core::time;

/// Adaptive bound of concurrent requests: additive increase, multiplicative decrease.
#[derive(Debug)]
pub(crate) struct Limit {
    value: f64,
    /// Grows by a factor until the first decrease.
    starting: bool,
    /// Requests seen and missed in this window, per class.
    counts: Vec<(u32, u32)>,
    /// The bound was reached in this window.
    binding: bool,
    window: time::Duration,
    decreased: time::Duration,
}

impl Limit {
    pub(crate) fn new(now: time::Duration, slots: u32) -> Self {
        Self {
            value: f64::from(slots),
            starting: true,
            counts: Vec::new(),
            binding: false,
            window: now,
            decreased: time::Duration::ZERO,
        }
    }

    pub(crate) const fn get(&self) -> f64 {
        self.value
    }

    /// Notes that every place was taken.
    pub(crate) const fn bind(&mut self) {
        self.binding = true;
    }

    /// Notes whether a request that was granted at `granted` missed its target.
    ///
    /// Requests from before the last decrease say nothing about the new bound.
    pub(crate) fn observe(&mut self, granted: time::Duration, class: usize, miss: bool) {
        if granted < self.decreased {
            return;
        }
        if self.counts.len() <= class {
            self.counts.resize(class + 1, (0, 0));
        }
        let (seen, missed) = &mut self.counts[class];
        *seen += 1;
        *missed += u32::from(miss);
    }

    /// Notes a report in which the endpoint queues what it was given.
    pub(crate) fn queues(&mut self, at: time::Duration, running: u32) {
        if at >= self.decreased {
            let least = f64::from(running.max(1));
            self.value = self.value.min((self.value * QUEUES).max(least));
            self.starting = false;
        }
    }

    /// Notes that the endpoint had no room for more than `held` requests.
    pub(crate) fn full(&mut self, now: time::Duration, held: u32) {
        self.value = self.value.min(f64::from(held.max(1)));
        self.starting = false;
        self.decreased = now;
    }

    /// Raises the bound to `slots` after the endpoint has grown.
    pub(crate) fn raise(&mut self, slots: u32) {
        self.value = self.value.max(f64::from(slots));
        self.starting = true;
    }

    /// Closes a window when it is due.
    pub(crate) fn update(&mut self, now: time::Duration, slots: u32) {
        let slots = f64::from(slots);
        self.value = self.value.min(slots);
        let age = now.saturating_sub(self.window);
        let seen: u32 = self.counts.iter().map(|&(seen, _)| seen).sum();
        if age < WINDOW || (seen < SEEN_MIN && age < WINDOW_MAX) {
            return;
        }
        if self.counts.iter().any(|&count| too_many(count)) {
            let least = (slots * LEAST_PART).max(1.0);
            self.value = (self.value * DECREASE).max(least.min(slots));
            self.starting = false;
            self.decreased = now;
        } else if self.binding && seen > 0 {
            let step = if self.starting {
                self.value / 2.0
            } else {
                INCREASE
            };
            self.value = (self.value + step).min(slots);
        }
        self.counts.fill((0, 0));
        self.binding = false;
        self.window = now;
    }
}

/// Returns whether a class missed its target too often.
fn too_many((seen, missed): (u32, u32)) -> bool {
    let few = seen <= 2 && missed == seen;
    let many = f64::from(missed) > MISSES_MAX * f64::from(seen);
    missed > 0 && many && (missed > 1 || few)
}

/// Factor of a decrease when the endpoint queues.
const QUEUES: f64 = 0.7;

/// Shortest time between two changes.
const WINDOW: time::Duration = time::Duration::from_millis(250);

/// Time after which a window closes with few observations.
const WINDOW_MAX: time::Duration = time::Duration::from_secs(1);

/// Observations that close a window early.
const SEEN_MIN: u32 = 4;

/// Share of misses above which the bound falls; classes aim for 95 in 100.
const MISSES_MAX: f64 = 0.1;

/// Factor of a decrease.
const DECREASE: f64 = 0.85;

/// Places added by an increase.
const INCREASE: f64 = 1.0;

/// Share of the slots below which the bound never falls. A target that cannot
/// be met at any bound would otherwise take away nearly all throughput.
const LEAST_PART: f64 = 0.125;
