use core::time;

use answer::{Kind, Refusal};
use bytes::Bytes;
use http::header;
use xxhash_rust::xxh3;

use crate::options;
use crate::request;

/// Characters of a prompt per token, for the estimate of its length.
const CHARS_PER_TOKEN: usize = 4;
/// Leading bytes of a prompt that decide prefix affinity.
const PREFIX_BYTES: usize = 256;
/// Longest idempotency key in bytes.
const KEY_BYTES_MAX: usize = 255;
/// Latest deadline that a request may carry.
const DEADLINE_MAX: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Headers that concern one connection only or that the router sets itself.
const NOT_PASSED: [&str; 14] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "request-deadline",
    "x-fencing-number",
    "x-request-id",
];

#[derive(serde::Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// What the headers of a request say.
pub(crate) struct Head {
    pub(crate) bearer: Option<String>,
    pub(crate) deadline: Option<time::Duration>,
    pub(crate) key: Option<String>,
    pub(crate) request_time: Option<u64>,
    pub(crate) idempotent: Option<bool>,
    pub(crate) passed: http::HeaderMap,
}

/// Checks that the head of a request is within the limits.
///
/// # Errors
///
/// Refuses a URI or headers above their limits.
pub(crate) fn bounds(
    uri: &http::Uri,
    headers: &http::HeaderMap,
    options: &options::Options,
) -> Result<(), Refusal> {
    let above = |what: &str, limit: u64, unit: &str| {
        let text = format!("{what} above the limit of {limit} {unit}");
        Err(Refusal::new(Kind::HeaderTooLarge, text))
    };
    let length = uri.path().len() + uri.query().map_or(0, |query| query.len() + 1);
    if length > options.uri_max {
        return above("the URI is", options.uri_max as u64, "bytes");
    }
    if headers.len() > options.header_count_max {
        let limit = options.header_count_max as u64;
        return above("the headers are", limit, "fields");
    }
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size as u64 > options.header_max {
        return above("the headers are", options.header_max, "bytes");
    }
    Ok(())
}

/// Parses the headers of a request.
///
/// # Errors
///
/// Refuses values that cannot be parsed.
pub(crate) fn head(headers: &http::HeaderMap) -> Result<Head, Refusal> {
    let bearer = match text(headers, header::AUTHORIZATION.as_str())? {
        None => None,
        Some(value) => Some(parse_bearer(value)?),
    };
    let deadline = match text(headers, "request-deadline")? {
        None => None,
        Some(value) => Some(parse_deadline(value)?),
    };
    let key = text(headers, "idempotency-key")?.map(str::to_owned);
    if key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > KEY_BYTES_MAX)
    {
        let text = format!("Idempotency-Key must have 1 to {KEY_BYTES_MAX} bytes");
        return Err(Refusal::new(Kind::BadKey, text));
    }
    let request_time = match text(headers, "request-time")? {
        None => None,
        Some(value) => Some(parse_time(value)?),
    };
    let idempotent = match text(headers, "request-idempotent")? {
        None => None,
        Some("true") => Some(true),
        Some("false") => Some(false),
        Some(_) => return Err(bad("Request-Idempotent must be true or false")),
    };
    Ok(Head {
        bearer,
        deadline,
        key,
        request_time,
        idempotent,
        passed: passed(headers),
    })
}

fn passed(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = headers.clone();
    for name in NOT_PASSED {
        kept.remove(name);
    }
    kept
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(bad(format!("{name} is not visible ASCII"))),
    }
}

fn parse_bearer(value: &str) -> Result<String, Refusal> {
    match value.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => Ok(key.trim().to_owned()),
        _ => Err(Refusal::new(
            Kind::UnknownKey,
            "Authorization must be `Bearer KEY`",
        )),
    }
}

fn parse_deadline(value: &str) -> Result<time::Duration, Refusal> {
    match value.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(time::Duration::from_millis(millis).min(DEADLINE_MAX)),
        _ => Err(bad("Request-Deadline must be a whole number of ms above 0")),
    }
}

fn parse_time(value: &str) -> Result<u64, Refusal> {
    if let Ok(millis) = value.parse::<u64>() {
        return Ok(millis);
    }
    let parsed = humantime::parse_rfc3339(value)
        .ok()
        .and_then(|time| time.duration_since(std::time::UNIX_EPOCH).ok());
    match parsed {
        Some(since) => Ok(since.as_millis() as u64),
        None => Err(bad("Request-Time must be RFC 3339 (UTC) or Unix ms")),
    }
}

/// What the body of a model request says.
pub(crate) struct Model {
    pub(crate) name: String,
    pub(crate) stream: bool,
    pub(crate) max_tokens: Option<u32>,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefix: u64,
}

/// Parses the body of a model request.
///
/// # Errors
///
/// Refuses a body that is not a JSON object with a `model`.
pub(crate) fn model(body: &Bytes) -> Result<Model, Refusal> {
    let parsed: Completion = serde_json::from_slice(body)
        .map_err(|cause| bad(format!("the body is not a completion request: {cause}")))?;
    let lead = &body[..body.len().min(PREFIX_BYTES)];
    Ok(Model {
        name: parsed.model,
        stream: parsed.stream,
        max_tokens: parsed.max_completion_tokens.or(parsed.max_tokens),
        prompt_tokens: u32::try_from(body.len() / CHARS_PER_TOKEN).unwrap_or(u32::MAX),
        prefix: xxh3::xxh3_64(lead),
    })
}

/// Returns the fingerprint of a request.
pub(crate) fn fingerprint(path: &request::Path, bearer: Option<&str>, body: &Bytes) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(path.pool().as_bytes());
    if let request::Path::Service { path, .. } = path {
        hash.update(path.as_bytes());
    }
    hash.update(&[0]);
    hash.update(bearer.unwrap_or_default().as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest().max(1)
}

fn bad(text: impl Into<String>) -> Refusal {
    Refusal::new(Kind::BadRequest, text)
}
