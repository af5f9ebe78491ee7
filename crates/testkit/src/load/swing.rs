use core::time;

/// Height of the sine above which a moment counts as the crest.
const CREST_SINE: f64 = 0.7;

/// A time during which the rate is multiplied.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start, since the start of the load.
    pub from: time::Duration,
    /// End, since the start of the load.
    pub until: time::Duration,
    /// Factor of the rate.
    pub factor: f64,
}

/// How a rate changes over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Swing {
    /// Period of the sine; zero for a steady rate.
    pub period: time::Duration,
    /// Amplitude of the sine as a share of the mean rate, 0 to 1.
    pub amplitude: f64,
    /// Burst on top.
    pub burst: Option<Burst>,
}

impl Swing {
    /// Returns the factor of the mean rate at this time.
    pub fn factor(&self, at: time::Duration) -> f64 {
        let burst = self
            .burst
            .filter(|burst| burst.from <= at && at < burst.until)
            .map_or(1.0, |burst| burst.factor);
        (1.0 + self.amplitude * self.sine(at)) * burst
    }

    /// Returns the largest factor.
    pub fn max(&self) -> f64 {
        let burst = self.burst.map_or(1.0, |burst| burst.factor);
        (1.0 + self.amplitude) * burst.max(1.0)
    }

    /// Returns whether the rate is near its peak or in the burst.
    pub fn is_crest(&self, at: time::Duration) -> bool {
        let burst = self.burst;
        let bursting = burst.is_some_and(|burst| burst.from <= at && at < burst.until);
        bursting || self.sine(at) >= CREST_SINE
    }

    fn sine(&self, at: time::Duration) -> f64 {
        if self.period.is_zero() {
            return 0.0;
        }
        (core::f64::consts::TAU * at.div_duration_f64(self.period)).sin()
    }
}
