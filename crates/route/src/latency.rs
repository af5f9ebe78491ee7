/// Mean and mean deviation of a time that requests of one class take.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean: Option<f64>,
    deviation: f64,
}

impl Latency {
    /// Notes the time of a completed request in seconds.
    pub fn observe(&mut self, seconds: f64) {
        let mean = self.mean.unwrap_or(seconds);
        let error = seconds - mean;
        self.mean = Some(mean + WEIGHT * error);
        self.deviation += WEIGHT * (error.abs() - self.deviation);
    }

    /// Returns the mean in seconds.
    pub const fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns a time that hardly any request takes, in seconds.
    pub(crate) fn rare(&self) -> Option<f64> {
        Some(self.mean? + DEVIATIONS_RARE * self.deviation)
    }

    /// Returns the time within which nearly all requests end, in seconds.
    pub fn upper_bound(&self) -> f64 {
        self.mean.unwrap_or(0.0) + DEVIATIONS * self.deviation
    }
}

/// Weight of the latest observation.
const WEIGHT: f64 = 0.05;

/// Mean deviations above the mean that hardly any request exceeds.
const DEVIATIONS_RARE: f64 = 8.0;

/// Mean deviations above the mean; for evenly spread times this is the maximum.
const DEVIATIONS: f64 = 2.0;
