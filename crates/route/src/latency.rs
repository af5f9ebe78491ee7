/// Moving mean and mean absolute deviation of a time of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean: Option<f64>,
    deviation: f64,
}

impl Latency {
    /// Adds an observation in seconds.
    pub fn observe(&mut self, seconds: f64) {
        let mean = self.mean.unwrap_or(seconds);
        let error = seconds - mean;
        self.mean = Some(mean + WEIGHT * error);
        self.deviation += WEIGHT * (error.abs() - self.deviation);
    }

    /// Returns the mean in seconds; `None` before the first observation.
    pub const fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns the time in seconds above which a request is an outlier.
    pub(crate) fn outlier_threshold(&self) -> Option<f64> {
        Some(self.mean? + OUTLIER_DEVIATIONS * self.deviation)
    }

    /// Returns the time in seconds within which nearly all requests end; 0 before
    /// the first observation.
    pub fn upper_bound(&self) -> f64 {
        self.mean.unwrap_or(0.0) + UPPER_DEVIATIONS * self.deviation
    }
}

/// Weight of the latest observation.
const WEIGHT: f64 = 0.05;

/// Mean deviations above the mean that hardly any request exceeds.
const OUTLIER_DEVIATIONS: f64 = 8.0;

/// Mean deviations above the mean; for uniformly distributed times this is the
/// maximum.
const UPPER_DEVIATIONS: f64 = 2.0;
