use core::time;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier, the same for every request that shares the part.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a request asks of an endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Parts of the prompt in their order; the last one is not shared.
    pub parts: Vec<Part>,
    /// Tokens of the prompt; 0 for plain work.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens_max: u32,
    /// Tokens of the answer that the caller expects, if it says so; its
    /// estimate is right on the mean.
    pub expected_tokens: Option<u32>,
}

/// Prompt tokens for each token of the answer above which reading the prompt
/// dominates the work.
const BULK_RATIO: u32 = 10;

impl Work {
    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns whether reading the prompt dominates the work. Such a request
    /// delays the tokens of all that run beside it.
    pub fn is_bulk(&self) -> bool {
        self.prompt_tokens > self.expected_output().saturating_mul(BULK_RATIO)
    }

    /// Returns the tokens that the answer probably has.
    pub fn expected_output(&self) -> u32 {
        self.expected_tokens
            .map_or(self.output_tokens_max, |expected| {
                expected.min(self.output_tokens_max)
            })
    }

    /// Returns the tokens that the request holds in memory at its end.
    pub const fn kv_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens_max)
    }

    /// Returns the part that decides where the request is best placed.
    pub fn placement(&self) -> Option<Part> {
        self.shared().last().copied()
    }
}

/// What a request needs beside its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Urgency from 0 for the least to 1 for the most urgent requests of the
    /// service.
    pub urgency: f64,
    /// Time that is left for the request.
    pub remaining: time::Duration,
    /// Time within which the first event is on time.
    pub target_first: time::Duration,
}
