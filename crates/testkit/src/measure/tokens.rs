use crate::engine;

/// Output tokens of all engines of a cluster.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tokens {
    /// Tokens generated.
    pub generated: u64,
    /// Tokens generated for requests whose caller had left.
    pub wasted: u64,
    /// Tokens generated for requests that a crash cut off.
    pub lost: u64,
}

impl Tokens {
    /// Returns the sum over the engines.
    pub fn sum(engines: &[engine::Handle]) -> Self {
        let mut sum = Self::default();
        for counters in engines.iter().map(engine::Handle::counters) {
            sum.generated += counters.tokens;
            sum.wasted += counters.wasted;
            sum.lost += counters.lost;
        }
        sum
    }

    /// Returns what was counted after `before`.
    pub const fn since(self, before: Self) -> Self {
        Self {
            generated: self.generated - before.generated,
            wasted: self.wasted - before.wasted,
            lost: self.lost - before.lost,
        }
    }
}
