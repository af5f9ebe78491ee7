/// Distribution of the output lengths of one class, with exponential decay of old
/// observations.
#[derive(Clone, Debug)]
pub struct Length {
    /// Weights of the lengths on a logarithmic scale.
    buckets: Vec<f64>,
    /// Weight of the next observation.
    gain: f64,
    completions: u32,
    /// Mean in tokens.
    mean: f64,
    /// Quantile `UPPER_QUANTILE` in tokens, as last computed.
    upper: f64,
}

impl Length {
    /// Returns an estimate without observations.
    pub fn new() -> Self {
        Self {
            buckets: vec![0.0; BUCKETS],
            gain: 1.0,
            completions: 0,
            mean: 0.0,
            upper: 0.0,
        }
    }

    /// Adds the output length of a completed request in tokens.
    pub fn observe(&mut self, tokens: u32) {
        // The weight of new observations grows instead of every bucket decaying.
        self.gain /= DECAY;
        self.buckets[bucket(tokens)] += self.gain;
        if self.gain > GAIN_MAX {
            self.buckets
                .iter_mut()
                .for_each(|bucket| *bucket /= GAIN_MAX);
            self.gain /= GAIN_MAX;
        }
        self.completions = self.completions.saturating_add(1);
        let weight = (1.0 / f64::from(self.completions)).max(1.0 - DECAY);
        self.mean += weight * (f64::from(tokens) - self.mean);
        if self.completions <= COMPLETIONS_MIN || self.completions.is_multiple_of(UPPER_INTERVAL) {
            self.upper = self.quantile(UPPER_QUANTILE);
        }
    }

    /// Returns the expected output length in tokens, at most `max_tokens`.
    pub fn mean(&self, max_tokens: Option<u32>) -> f64 {
        // Even one observation replaces the default, which caused refusals of
        // plain services, whose calls generate no tokens.
        let known = if self.completions == 0 {
            MEAN_DEFAULT_TOKENS
        } else {
            self.mean
        };
        max_tokens.map_or(known, |max| known.min(f64::from(max)))
    }

    /// Returns whether a request is expected to be longer than `long_tokens`.
    ///
    /// Until enough requests of the class have completed, the caller's bound
    /// `max_tokens` is taken as the length, and 0 without a bound.
    pub fn is_long(&self, max_tokens: Option<u32>, long_tokens: u32) -> bool {
        let bound = max_tokens.map(f64::from);
        let expected = match (self.completions < COMPLETIONS_MIN, bound) {
            (true, bound) => bound.unwrap_or(0.0),
            (false, Some(bound)) => bound.min(self.upper),
            (false, None) => self.upper,
        };
        expected > f64::from(long_tokens)
    }

    /// Returns the length in tokens below which this share of the requests ends; 0
    /// before the first observation.
    pub fn quantile(&self, share: f64) -> f64 {
        let total: f64 = self.buckets.iter().sum();
        let mut sum = 0.0;
        for (index, count) in self.buckets.iter().enumerate() {
            sum += count;
            if sum >= share * total && sum > 0.0 {
                return 2.0_f64.powf((index as f64 + 0.5) / PER_DOUBLING);
            }
        }
        0.0
    }
}

impl Default for Length {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the index of the bucket of a length.
fn bucket(tokens: u32) -> usize {
    let log = f64::from(tokens.max(1)).log2();
    ((log * PER_DOUBLING) as usize).min(BUCKETS - 1)
}

/// Buckets per doubling of the length; the error is at most 9 %.
const PER_DOUBLING: f64 = 4.0;

/// Number of buckets; the last one holds 2^20 tokens and more.
const BUCKETS: usize = 81;

/// Factor by which the weight of old observations decays with each new one.
const DECAY: f64 = 0.99;

/// Completions from which the distribution is used.
const COMPLETIONS_MIN: u32 = 8;

/// Expected length in tokens before the first completion.
const MEAN_DEFAULT_TOKENS: f64 = 256.0;

/// Quantile of the lengths that decides whether a request counts as long.
const UPPER_QUANTILE: f64 = 0.75;

/// Completions between two updates of that quantile.
const UPPER_INTERVAL: u32 = 8;

/// Weight above which all weights are scaled down.
const GAIN_MAX: f64 = 1e9;
