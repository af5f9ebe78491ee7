use core::time;

use answer::{Kind, Refusal};
use http::header;

use crate::parse;

/// Maximum length of an idempotency key.
const KEY_BYTES_MAX: usize = 255;

/// Headers that are not forwarded, because they apply to one connection only or
/// the router sets them itself.
const NOT_FORWARDED: [&str; 17] = [
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

/// Values from the headers of a request. An absent header is `None`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// Key from `Authorization: Bearer KEY`.
    pub bearer: Option<String>,
    /// Time until the deadline, from `Request-Deadline`.
    pub deadline: Option<time::Duration>,
    /// Value of `Idempotency-Key`, 1 to 255 bytes.
    pub idempotency_key: Option<String>,
    /// Unix time of the first attempt in milliseconds, from `Request-Time`.
    pub request_time_ms: Option<u64>,
    /// Whether the work may run more than once, from `Request-Idempotent`.
    pub is_idempotent: Option<bool>,
    /// Headers that are forwarded to the endpoint.
    pub forwarded: http::HeaderMap,
}

/// Parses the headers of a request.
///
/// # Errors
///
/// Refuses a value that cannot be parsed, and a header with more than one value
/// among those that are parsed.
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
        forwarded: forwarded(headers),
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
        _ => Err(parse::bad_request(
            "Request-Idempotent must be true or false",
        )),
    }
}

fn forwarded(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut forwarded = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.map(str::trim) {
            forwarded.remove(name);
        }
    }
    for name in NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(parse::bad_request(format!(
            "the header {name} has more than one value"
        )));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(parse::bad_request(format!(
            "the value of the header {name} is not visible ASCII"
        ))),
    }
}
