use core::time;

/// Capacity of the bucket: actions that may follow each other without a wait.
const TOKENS_MAX: f64 = 3.0;

/// Seconds in which one token is refilled.
const REFILL_S: f64 = 10.0;

/// A token bucket that limits the rate of an action.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    at: time::Duration,
}

impl Bucket {
    pub(crate) fn new() -> Self {
        Self {
            tokens: TOKENS_MAX,
            at: time::Duration::ZERO,
        }
    }

    /// Takes a token and returns whether there was one.
    pub(crate) fn take(&mut self, now: time::Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed / REFILL_S).min(TOKENS_MAX);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
