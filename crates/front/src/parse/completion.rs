use answer::Refusal;
use xxhash_rust::xxh3;

use crate::parse;

/// Bytes of a body per token, for the estimate of the prompt length.
const BYTES_PER_TOKEN: usize = 4;
/// Leading bytes of a body that are hashed for prefix affinity.
const PREFIX_BYTES: usize = 256;

/// Values from the body of a model request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    /// Model name, which is the name of the pool.
    pub model: String,
    /// Whether the caller requested an event stream; false if absent.
    pub is_stream: bool,
    /// Maximum output length in tokens, from `max_completion_tokens` or otherwise
    /// `max_tokens`.
    pub max_tokens: Option<u32>,
    /// Estimated prompt length in tokens, derived from the size of the body.
    pub prompt_tokens: u32,
    /// Hash of the first 256 bytes of the body.
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
/// Refuses a body that is not a JSON object with a `model`, or whose other fields
/// have a wrong type, with [`answer::Kind::BadRequest`].
pub fn completion(body: &[u8]) -> Result<Completion, Refusal> {
    let parsed: Body = serde_json::from_slice(body).map_err(|cause| {
        parse::bad_request(format!(
            "the request body is not a valid completion request: {cause}"
        ))
    })?;
    let prefix = &body[..body.len().min(PREFIX_BYTES)];
    Ok(Completion {
        model: parsed.model,
        is_stream: parsed.stream.unwrap_or(false),
        max_tokens: parsed.max_completion_tokens.or(parsed.max_tokens),
        prompt_tokens: u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        prefix_hash: xxh3::xxh3_64(prefix),
    })
}
