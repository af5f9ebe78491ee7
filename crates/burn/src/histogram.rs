use core::time;

/// Number of buckets per doubling of the latency. With 8, a bucket is at most
/// 12.5% wide.
const BUCKETS_PER_DOUBLING: u64 = 8;

/// Maximum latency; longer ones count as this one.
const LATENCY_MAX_MS: u64 = 3_600_000;

/// Number of buckets.
const BUCKETS: usize = bucket_index(LATENCY_MAX_MS) + 1;

/// Histogram of latencies with buckets of approximately constant relative width.
///
/// The buckets are one millisecond wide up to 16 ms, and at most an eighth of the
/// latency above. Latencies of more than an hour count as an hour.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(into = "Vec<u64>", try_from = "Vec<u64>")]
pub struct Histogram {
    /// Counts by bucket, up to the last bucket that is not empty.
    counts: Vec<u64>,
}

impl Histogram {
    /// Counts one latency, rounded down to milliseconds.
    pub fn record(&mut self, latency: time::Duration) {
        let ms = u64::try_from(latency.as_millis()).unwrap_or(LATENCY_MAX_MS);
        let index = bucket_index(ms.min(LATENCY_MAX_MS));
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Adds the counts of another histogram. The sums saturate.
    pub fn merge(&mut self, other: &Self) {
        if self.counts.len() < other.counts.len() {
            self.counts.resize(other.counts.len(), 0);
        }
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count = count.saturating_add(*more);
        }
    }

    /// Returns the number of recorded latencies.
    pub fn count(&self) -> u64 {
        let counts = self.counts.iter();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the upper end of the bucket that holds a quantile; `None` without
    /// latencies. A `quantile` outside of 0 to 1 is clamped.
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
        found.map(|index| time::Duration::from_millis(bucket_max_ms(index)))
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

/// Returns the index of the bucket of a latency, which must not exceed
/// `LATENCY_MAX_MS`.
const fn bucket_index(ms: u64) -> usize {
    let index = if ms < 2 * BUCKETS_PER_DOUBLING {
        ms
    } else {
        // Number of low bits that do not select the bucket.
        let octave = (ms.ilog2() - BUCKETS_PER_DOUBLING.ilog2()) as u64;
        octave * BUCKETS_PER_DOUBLING + (ms >> octave)
    };
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the index of LATENCY_MAX_MS is below 200"
    )]
    return index as usize;
}

/// Returns the largest latency of a bucket, in milliseconds.
const fn bucket_max_ms(bucket: usize) -> u64 {
    let bucket = bucket as u64;
    if bucket < 2 * BUCKETS_PER_DOUBLING {
        return bucket;
    }
    let octave = bucket / BUCKETS_PER_DOUBLING - 1;
    let step = bucket % BUCKETS_PER_DOUBLING + BUCKETS_PER_DOUBLING;
    ((step + 1) << octave) - 1
}
