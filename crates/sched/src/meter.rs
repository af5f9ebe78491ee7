use core::time;

/// Decayed rate of an amount per second.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    sum: f64,
    at: time::Duration,
    memory: f64,
}

impl Meter {
    /// Returns a meter whose memory fades with the time constant `memory`.
    pub fn new(memory: time::Duration) -> Self {
        Self {
            sum: 0.0,
            at: time::Duration::ZERO,
            memory: memory.as_secs_f64().max(MEMORY_MIN),
        }
    }

    /// Adds an amount that was seen at `now`.
    pub fn add(&mut self, now: time::Duration, amount: f64) {
        self.sum = self.faded(now) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the rate per second.
    pub fn rate(&self, now: time::Duration) -> f64 {
        self.faded(now) / self.memory
    }

    fn faded(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / self.memory).exp()
    }
}

/// Shortest memory in seconds.
const MEMORY_MIN: f64 = 0.001;
