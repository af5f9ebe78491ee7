use crate::engine;

/// Output tokens of all engines of a cluster, as sums of their
/// [`Counters`](engine::Counters).
#[derive(Clone, Copy, Debug, Default)]
pub struct Tokens {
    /// Tokens generated.
    pub generated: u64,
    /// Tokens generated for cancelled requests.
    pub wasted: u64,
    /// Tokens generated for requests that a crash interrupted.
    pub lost: u64,
}

impl Tokens {
    /// Returns the current sums over the engines.
    pub fn sum(engines: &[engine::Handle]) -> Self {
        let mut sum = Self::default();
        for counters in engines.iter().map(engine::Handle::counters) {
            sum.generated += counters.tokens;
            sum.wasted += counters.wasted;
            sum.lost += counters.lost;
        }
        sum
    }

    /// Returns the tokens that were counted after `before`.
    pub const fn since(self, before: Self) -> Self {
        Self {
            generated: self.generated - before.generated,
            wasted: self.wasted - before.wasted,
            lost: self.lost - before.lost,
        }
    }
}
