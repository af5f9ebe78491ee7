use core::time;

/// Buckets per doubling of the latency: a bucket is at most 12.5% wide.
const STEPS: u64 = 8;

/// Upper bound of latencies in milliseconds; longer ones count as this one.
const MAX_MS: u64 = 3_600_000;

/// Number of buckets.
const BUCKETS: usize = index(MAX_MS) + 1;

/// Latencies in buckets that grow with the latency.
///
/// The buckets are one millisecond wide up to 16 ms and at most an eighth of
/// the latency above.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(into = "Vec<u64>", try_from = "Vec<u64>")]
pub struct Histogram {
    /// Counts up to the last bucket that is not empty.
    counts: Vec<u64>,
}

impl Histogram {
    /// Counts one latency.
    pub fn record(&mut self, latency: time::Duration) {
        let ms = u64::try_from(latency.as_millis()).unwrap_or(MAX_MS);
        let index = index(ms.min(MAX_MS));
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        if self.counts.len() < other.counts.len() {
            self.counts.resize(other.counts.len(), 0);
        }
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count = count.saturating_add(*more);
        }
    }

    /// Returns the number of latencies.
    pub fn count(&self) -> u64 {
        let counts = self.counts.iter();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the upper end of the bucket that holds a quantile (0 to 1);
    /// `None` without latencies.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rank needs no more than 52 bits and is not negative"
    )]
    pub fn quantile(&self, quantile: f64) -> Option<time::Duration> {
        let rank = (quantile.clamp(0.0, 1.0) * self.count() as f64).ceil() as u64;
        let rank = rank.max(1);
        let mut seen = 0_u64;
        let found = self.counts.iter().position(|count| {
            seen = seen.saturating_add(*count);
            seen >= rank
        });
        found.map(|index| time::Duration::from_millis(upper(index)))
    }
}

impl From<Histogram> for Vec<u64> {
    fn from(histogram: Histogram) -> Self {
        histogram.counts
    }
}

impl TryFrom<Vec<u64>> for Histogram {
    type Error = &'static str;

    fn try_from(mut counts: Vec<u64>) -> Result<Self, Self::Error> {
        if counts.len() > BUCKETS {
            return Err("too many latency buckets");
        }
        let used = counts.iter().rposition(|count| *count > 0);
        counts.truncate(used.map_or(0, |last| last + 1));
        Ok(Self { counts })
    }
}

/// Returns the bucket of a latency.
const fn index(ms: u64) -> usize {
    let index = if ms < 2 * STEPS {
        ms
    } else {
        // The position of the leading bit, less the bits of a step.
        let octave = (ms.ilog2() - STEPS.ilog2()) as u64;
        octave * STEPS + (ms >> octave)
    };
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the index of MAX_MS is below 200"
    )]
    return index as usize;
}

/// Returns the largest latency of a bucket in milliseconds.
const fn upper(bucket: usize) -> u64 {
    let bucket = bucket as u64;
    if bucket < 2 * STEPS {
        return bucket;
    }
    let octave = bucket / STEPS - 1;
    let step = bucket % STEPS + STEPS;
    ((step + 1) << octave) - 1
}
