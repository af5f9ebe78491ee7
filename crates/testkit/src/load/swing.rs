use core::time;

/// Value of the sine from which a time counts as part of the crest.
const CREST_SINE: f64 = 0.7;

/// Interval during which the rate is multiplied.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Beginning of the interval, relative to the start of the load.
    pub from: time::Duration,
    /// End of the interval, exclusive, relative to the start of the load.
    pub until: time::Duration,
    /// Factor by which the rate is multiplied.
    pub factor: f64,
}

/// Variation of a request rate over time: a sine wave and an optional burst.
#[derive(Clone, Copy, Debug, Default)]
pub struct Swing {
    /// Period of the sine; zero for a steady rate.
    pub period: time::Duration,
    /// Amplitude of the sine as a fraction of the mean rate, 0 to 1.
    pub amplitude: f64,
    /// Burst that multiplies the sine wave.
    pub burst: Option<Burst>,
}

impl Swing {
    /// Returns the factor of the mean rate at `at`.
    pub fn factor(&self, at: time::Duration) -> f64 {
        let burst = self
            .burst
            .filter(|burst| burst.from <= at && at < burst.until)
            .map_or(1.0, |burst| burst.factor);
        (1.0 + self.amplitude * self.sine(at)) * burst
    }

    /// Returns an upper bound of [`Swing::factor`].
    pub fn max(&self) -> f64 {
        let burst = self.burst.map_or(1.0, |burst| burst.factor);
        (1.0 + self.amplitude) * burst.max(1.0)
    }

    /// Returns whether the rate at `at` is near the peak of the sine or in the burst.
    pub fn is_crest(&self, at: time::Duration) -> bool {
        let burst = self.burst;
        let is_in_burst = burst.is_some_and(|burst| burst.from <= at && at < burst.until);
        is_in_burst || self.sine(at) >= CREST_SINE
    }

    fn sine(&self, at: time::Duration) -> f64 {
        if self.period.is_zero() {
            return 0.0;
        }
        (core::f64::consts::TAU * at.div_duration_f64(self.period)).sin()
    }
}
