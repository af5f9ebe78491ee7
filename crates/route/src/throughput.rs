use core::time;

/// Service rate of one place in tokens per second, from recent completions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    tokens: f64,
    seconds: f64,
    at: time::Duration,
}

impl Throughput {
    /// Notes that a place served `tokens` in the time `held`.
    pub fn observe(&mut self, now: time::Duration, tokens: f64, held: time::Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let keep = (-age / MEMORY_SECONDS).exp();
        self.tokens = self.tokens * keep + tokens;
        self.seconds = self.seconds * keep + held.as_secs_f64();
        self.at = now;
    }

    /// Returns the rate, or `None` before the first completion.
    pub fn rate(&self) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }
}

/// Memory of the pace in seconds; short, so that admission follows a swing.
const MEMORY_SECONDS: f64 = 5.0;
