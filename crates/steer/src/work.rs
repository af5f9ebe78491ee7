use core::time;

/// A contiguous part of a prompt, the unit in which prefix caches are tracked.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Part {
    /// Identifier; equal for every request that shares the part.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// The work that a request causes at an endpoint. The default is a request
/// without a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Work {
    /// Parts of the prompt in order; the last one is not shared with other
    /// requests.
    pub parts: Vec<Part>,
    /// Tokens of the prompt; 0 for services without model engines.
    pub prompt_tokens: u32,
    /// Upper bound of the tokens of the answer.
    pub output_tokens_max: u32,
    /// Tokens of the answer as estimated by the caller; `None` without an
    /// estimate. Estimates are correct on average.
    pub expected_tokens: Option<u32>,
}

/// Ratio of prompt tokens to answer tokens above which prefill dominates the
/// work.
const BULK_RATIO: u32 = 10;

/// Prompt tokens up to which a request never counts as bulk work. An engine
/// processes them in tens of milliseconds, which other answers hardly notice.
const BULK_PROMPT_MIN: u32 = 3_000;

impl Work {
    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns whether prefill dominates the work. Such a request delays the
    /// tokens of all other requests in the batch.
    pub fn is_bulk(&self) -> bool {
        self.prompt_tokens > BULK_PROMPT_MIN
            && self.prompt_tokens > self.expected_output().saturating_mul(BULK_RATIO)
    }

    /// Returns the expected tokens of the answer, at most the upper bound.
    pub fn expected_output(&self) -> u32 {
        self.expected_tokens
            .map_or(self.output_tokens_max, |expected| {
                expected.min(self.output_tokens_max)
            })
    }

    /// Returns the KV cache tokens that the request occupies at its end.
    pub const fn kv_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens_max)
    }

    /// Returns the part by which endpoints are ranked for the request: the last
    /// shared one, or `None` if no part is shared.
    pub fn placement(&self) -> Option<Part> {
        self.shared().last().copied()
    }
}

/// Service-level objective of a request.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Objective {
    /// Urgency from 0 for the least urgent to 1 for the most urgent requests of
    /// the service.
    pub urgency: f64,
    /// Time until the request's deadline.
    pub remaining: time::Duration,
    /// Target for the time to the first event.
    pub target_first: time::Duration,
}
