use core::time;

/// Rate of an amount per second, with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    sum: f64,
    at: time::Duration,
    time_constant: f64,
}

impl Meter {
    /// Returns a meter at rate 0 that decays with the given time constant.
    pub fn new(time_constant: time::Duration) -> Self {
        Self {
            sum: 0.0,
            at: time::Duration::ZERO,
            time_constant: time_constant.as_secs_f64().max(TIME_CONSTANT_MIN_SECONDS),
        }
    }

    /// Adds an amount observed at `now`.
    pub fn add(&mut self, now: time::Duration, amount: f64) {
        self.sum = self.decayed(now) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the rate per second at `now`.
    pub fn rate(&self, now: time::Duration) -> f64 {
        self.decayed(now) / self.time_constant
    }

    fn decayed(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / self.time_constant).exp()
    }
}

/// Smallest time constant; 0 would divide by zero.
const TIME_CONSTANT_MIN_SECONDS: f64 = 0.001;
