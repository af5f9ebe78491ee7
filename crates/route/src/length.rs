/// Distribution of the output lengths of one class, with fading memory.
#[derive(Clone, Debug)]
pub struct Length {
    buckets: Vec<f64>,
    /// Weight of the next observation.
    gain: f64,
    seen: u32,
    mean: f64,
    upper: f64,
}

impl Length {
    /// Returns an estimate without observations.
    pub fn new() -> Self {
        Self {
            buckets: vec![0.0; BUCKETS],
            gain: 1.0,
            seen: 0,
            mean: 0.0,
            upper: 0.0,
        }
    }

    /// Notes the output length of a completed request in tokens.
    pub fn observe(&mut self, tokens: u32) {
        // New observations grow instead of old ones fading.
        self.gain /= FADE;
        self.buckets[bucket(tokens)] += self.gain;
        if self.gain > GAIN_MAX {
            self.buckets
                .iter_mut()
                .for_each(|bucket| *bucket /= GAIN_MAX);
            self.gain /= GAIN_MAX;
        }
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / f64::from(self.seen)).max(1.0 - FADE);
        self.mean += weight * (f64::from(tokens) - self.mean);
        if self.seen <= SEEN_MIN || self.seen.is_multiple_of(UPPER_EVERY) {
            self.upper = self.quantile(UPPER);
        }
    }

    /// Returns the expected output length in tokens.
    pub fn mean(&self, max_tokens: Option<u32>) -> f64 {
        // One observation is a better guess than the default, which refused
        // calls of plain services that have no tokens at all.
        let known = if self.seen == 0 {
            MEAN_DEFAULT
        } else {
            self.mean
        };
        max_tokens.map_or(known, |max| known.min(f64::from(max)))
    }

    /// Returns whether a request is expected to be longer than `long_tokens`.
    ///
    /// Before enough requests of the class completed, the bound that the caller
    /// gave stands for the length.
    pub fn is_long(&self, max_tokens: Option<u32>, long_tokens: u32) -> bool {
        let bound = max_tokens.map(f64::from);
        let expected = match (self.seen < SEEN_MIN, bound) {
            (true, bound) => bound.unwrap_or(0.0),
            (false, Some(bound)) => bound.min(self.upper),
            (false, None) => self.upper,
        };
        expected > f64::from(long_tokens)
    }

    /// Returns the length below which this share of the requests ends.
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

fn bucket(tokens: u32) -> usize {
    let log = f64::from(tokens.max(1)).log2();
    ((log * PER_DOUBLING) as usize).min(BUCKETS - 1)
}

/// Buckets per doubling of the length; the error is at most 9 %.
const PER_DOUBLING: f64 = 4.0;

/// Buckets in total; the last one holds 2^20 tokens and more.
const BUCKETS: usize = 81;

/// Factor by which older observations fade with each new one.
const FADE: f64 = 0.99;

/// Completions before the distribution is trusted.
const SEEN_MIN: u32 = 8;

/// Expected length in tokens before the first completion.
const MEAN_DEFAULT: f64 = 256.0;

/// Quantile that decides whether a class is long.
const UPPER: f64 = 0.75;

/// Completions between two updates of that quantile.
const UPPER_EVERY: u32 = 8;

/// Weight at which all weights are scaled down.
const GAIN_MAX: f64 = 1e9;
