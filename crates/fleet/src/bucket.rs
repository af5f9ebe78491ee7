use core::time;

/// Tokens held at most.
const TOKENS_MAX: f64 = 3.0;

/// Seconds until a used token is back.
const REFILL_S: f64 = 10.0;

/// Limits how often something is done.
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

    /// Takes a token if there is one.
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
