use serde_json::Value;
use xxhash_rust::xxh3;

use crate::admit;

/// Most parts of a prompt that are told apart; further messages belong to the last one.
const PARTS_MAX: usize = 256;

/// Bytes of text that count as one token.
const TOKEN_BYTES: usize = 4;

/// What a host is told of the body of a request that is not sent to it: hashes and
/// numbers instead of the text.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Content {
    /// Hash of the caller's key, the path and the body, by which requests that crashed
    /// endpoints are recognized.
    pub fingerprint: u64,
    /// Parts of the prompt; empty if the body names no messages.
    pub parts: Vec<steer::Part>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Upper bound of the tokens of the answer; 0 if the body states none.
    pub output_tokens_max: u32,
}

impl Content {
    /// Returns what there is to tell of a body that a client would send with this head.
    ///
    /// The parts of a prompt are the `messages` of a JSON body, or its `prompt`. Each is
    /// named by a hash of itself and of those before, and counts a token for four bytes.
    pub fn new(head: &http::request::Parts, body: &[u8]) -> Self {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let parts = parts(&value);
        let tokens = |name: &str| value[name].as_u64();
        let output = tokens("max_completion_tokens").or_else(|| tokens("max_tokens"));
        Self {
            fingerprint: admit::fingerprint(admit::caller(&head.headers), &head.uri, body),
            prompt_tokens: parts
                .iter()
                .fold(0, |sum, part| part.tokens.saturating_add(sum)),
            parts,
            output_tokens_max: output.map_or(0, |count| u32::try_from(count).unwrap_or(u32::MAX)),
        }
    }

    /// Completes the work that headers describe; returns whether the parts are used.
    pub(crate) fn complete(&self, work: &mut steer::Work) -> bool {
        let is_used = work.parts.is_empty() && !self.parts.is_empty();
        if is_used {
            work.parts.clone_from(&self.parts);
        }
        if work.prompt_tokens == 0 {
            work.prompt_tokens = self.prompt_tokens;
        }
        if work.output_tokens_max == 0 {
            work.output_tokens_max = self.output_tokens_max;
        }
        is_used
    }
}

fn parts(body: &Value) -> Vec<steer::Part> {
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let texts = messages.iter().map(|message| message.to_string());
    let prompt = body["prompt"].as_str().map(str::to_owned);
    let mut parts: Vec<steer::Part> = Vec::new();
    for text in texts.chain(prompt) {
        let before = parts.last().map_or(0, |part| part.id);
        let part = steer::Part {
            id: xxh3::xxh3_64_with_seed(text.as_bytes(), before),
            tokens: u32::try_from(text.len() / TOKEN_BYTES).unwrap_or(u32::MAX),
        };
        let is_full = parts.len() >= PARTS_MAX;
        match parts.last_mut().filter(|_| is_full) {
            Some(last) => {
                last.id = part.id;
                last.tokens = last.tokens.saturating_add(part.tokens);
            }
            None => parts.push(part),
        }
    }
    parts
}
