use xxhash_rust::xxh3;

/// Bits of a tag. Four bytes on the wire hold them.
const TAG_BITS: u32 = 28;

/// Largest factor that a byte expresses; the least one is its inverse.
const FACTOR_MAX: f32 = 8.0;

/// Units of confidence per observation of full weight.
const CONFIDENCE_UNITS: f32 = 8.0;

/// What a host has learned of an endpoint, in the form that hosts publish.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Summary {
    /// Hash of the process: its id, start and build.
    pub tag: u32,
    /// Speed in proportion to the usual one of the service, as a logarithm: 128 is 1, and
    /// 1 and 255 are an eighth and eight times of it.
    pub speed: u8,
    /// Weight of the observations behind it.
    pub confidence: u8,
}

impl Summary {
    /// Returns the summary of a speed with this logarithm and weight, or `None` if the
    /// weight is too small to be told.
    pub(super) fn new(tag: u32, log: f32, weight: f32) -> Option<Self> {
        let scaled = log / FACTOR_MAX.ln() * 127.0;
        // CAST: Conversions to integers saturate.
        let confidence = (weight * CONFIDENCE_UNITS).round() as u8;
        (confidence > 0).then_some(Self {
            tag,
            speed: (scaled.round() + 128.0).max(1.0) as u8,
            confidence,
        })
    }

    /// Returns the logarithm of the speed.
    pub(super) fn log(&self) -> f32 {
        (f32::from(self.speed) - 128.0) / 127.0 * FACTOR_MAX.ln()
    }

    /// Returns the weight of the observations.
    pub(super) fn weight(&self) -> f32 {
        f32::from(self.confidence) / CONFIDENCE_UNITS
    }
}

/// Returns the hash of a process. An endpoint that is started again, or gets another
/// build, has another one, so that what was learned before is not applied to it.
pub(super) fn tag(listed: &plan::Endpoint) -> u32 {
    let build = listed.build.as_deref().unwrap_or_default();
    let seed = xxh3::xxh3_64_with_seed(build.as_bytes(), listed.started_ms);
    let hash = xxh3::xxh3_64_with_seed(listed.id.as_bytes(), seed);
    // CAST: The high bits of a hash are a hash.
    (hash >> (u64::BITS - TAG_BITS)) as u32
}
