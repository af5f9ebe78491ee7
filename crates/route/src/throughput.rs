use core::time;

/// Service rate of one slot in tokens per second, from recent completions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    tokens: f64,
    seconds: f64,
    updated_at: time::Duration,
}

impl Throughput {
    /// Records that a slot served `tokens` in the time `held`.
    pub fn observe(&mut self, now: time::Duration, tokens: f64, held: time::Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-age / TIME_CONSTANT_SECONDS).exp();
        self.tokens = self.tokens * decay + tokens;
        self.seconds = self.seconds * decay + held.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the rate in tokens per second; `None` before the first completion.
    pub fn rate(&self) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }
}

/// Time constant of the decay; short, so that admission follows changes of the
/// rate.
const TIME_CONSTANT_SECONDS: f64 = 5.0;
