use answer::Refusal;
use xxhash_rust::xxh3;

use crate::parse;

/// Characters of a prompt per token, for the estimate of its length.
const CHARS_PER_TOKEN: usize = 4;
/// Leading bytes of a prompt that decide prefix affinity.
const PREFIX_BYTES: usize = 256;

/// What the body of a model request says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    /// Model name.
    pub model: String,
    /// Whether the caller wants an event stream.
    pub is_stream: bool,
    /// Upper bound of the output length in tokens.
    pub max_tokens: Option<u32>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hash of the leading part of the body.
    pub prefix_hash: u64,
}

#[derive(serde::Deserialize)]
struct Body {
    model: String,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// Parses the body of a model request.
///
/// # Errors
///
/// Refuses a body that is not a JSON object with a `model`.
pub fn completion(body: &[u8]) -> Result<Completion, Refusal> {
    let parsed: Body = serde_json::from_slice(body)
        .map_err(|cause| parse::bad(format!("the body is not a completion request: {cause}")))?;
    let lead = &body[..body.len().min(PREFIX_BYTES)];
    Ok(Completion {
        model: parsed.model,
        is_stream: parsed.stream.unwrap_or(false),
        max_tokens: parsed.max_completion_tokens.or(parsed.max_tokens),
        prompt_tokens: u32::try_from(body.len() / CHARS_PER_TOKEN).unwrap_or(u32::MAX),
        prefix_hash: xxh3::xxh3_64(lead),
    })
}
