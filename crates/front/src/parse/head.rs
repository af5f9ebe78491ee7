use core::time;

use answer::{Kind, Refusal};
use http::header;

use crate::parse;

/// Longest idempotency key in bytes.
const KEY_BYTES_MAX: usize = 255;

/// Headers that concern one connection only or that the router sets itself.
const NOT_PASSED: [&str; 17] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "http2-settings",
    "expect",
    "host",
    "content-length",
    "authorization",
    "request-deadline",
    "x-fencing-number",
    "x-request-id",
];

/// What the headers of a request say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// Bearer key.
    pub bearer: Option<String>,
    /// Time to the deadline.
    pub deadline: Option<time::Duration>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Time of the first attempt in Unix milliseconds.
    pub request_time_ms: Option<u64>,
    /// Whether the caller says that the work may run more than once.
    pub is_idempotent: Option<bool>,
    /// Headers that are passed on to the endpoint.
    pub forwarded: http::HeaderMap,
}

/// Parses the headers of a request.
///
/// # Errors
///
/// Refuses values that cannot be parsed, and two values of a header that
/// decides about the request.
pub fn head(headers: &http::HeaderMap) -> Result<Head, Refusal> {
    let bearer = text(headers, header::AUTHORIZATION.as_str())?;
    let deadline = text(headers, "request-deadline")?;
    let request_time = text(headers, "request-time")?;
    Ok(Head {
        bearer: bearer.map(parse::bearer).transpose()?,
        deadline: deadline.map(parse::deadline).transpose()?,
        idempotency_key: text(headers, "idempotency-key")?.map(key).transpose()?,
        request_time_ms: request_time.map(parse::request_time).transpose()?,
        is_idempotent: text(headers, "request-idempotent")?
            .map(idempotent)
            .transpose()?,
        forwarded: passed(headers),
    })
}

fn key(value: &str) -> Result<String, Refusal> {
    if value.is_empty() || value.len() > KEY_BYTES_MAX {
        let text = format!("Idempotency-Key must have 1 to {KEY_BYTES_MAX} bytes");
        return Err(Refusal::new(Kind::BadKey, text));
    }
    Ok(value.to_owned())
}

fn idempotent(value: &str) -> Result<bool, Refusal> {
    match value {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(parse::bad("Request-Idempotent must be true or false")),
    }
}

fn passed(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.map(str::trim) {
            kept.remove(name);
        }
    }
    for name in NOT_PASSED {
        kept.remove(name);
    }
    kept
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(parse::bad(format!("{name} is given twice")));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(parse::bad(format!("{name} is not visible ASCII"))),
    }
}
