//! Answers of endpoints, read as far as an attempt needs them.

use answer::{Kind, Refusal};

use crate::permit;
use crate::relay;

/// Upper bound of an answer that is not streamed, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Headers of an endpoint's answer that concern one connection only.
const CONNECTION_HEADERS: [&str; 5] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
];

/// How one attempt ended without an answer.
pub(crate) struct Failure {
    pub(crate) refusal: Refusal,
    pub(crate) is_retryable: bool,
}

impl Failure {
    pub(crate) const fn new(refusal: Refusal, is_retryable: bool) -> Self {
        Self {
            refusal,
            is_retryable,
        }
    }
}

/// Reads the first data of a stream.
pub(crate) async fn begin_stream(
    permit: permit::Permit,
    mut body: back::Body,
) -> Result<relay::Source, Failure> {
    // The first data is read before the caller gets an answer, so that an
    // endpoint that fails before any output costs the caller nothing.
    match relay::next(&mut body).await {
        Ok(Some(first)) => {
            permit.record_first_output();
            Ok(relay::Source {
                permit,
                body,
                first: Some(first),
            })
        }
        Ok(None) => {
            permit.finish(pool::Outcome::Failed);
            let refusal = Refusal::new(Kind::EndpointInvalid, "the answer is empty");
            Err(Failure::new(refusal, true))
        }
        Err(relay::Error(cause)) => {
            permit.finish(pool::Outcome::Failed);
            Err(Failure::new(
                Refusal::new(Kind::EndpointFailed, cause),
                true,
            ))
        }
    }
}

/// Reads a whole answer.
pub(crate) async fn read_whole(
    mut permit: permit::Permit,
    body: back::Body,
    is_stream: bool,
) -> Result<front::Body, Failure> {
    let data = match relay::read_whole(body, ANSWER_MAX_BYTES).await {
        Ok(data) => data,
        Err(relay::Error(cause)) => {
            permit.finish(pool::Outcome::Failed);
            return Err(Failure::new(
                Refusal::new(Kind::EndpointFailed, cause),
                true,
            ));
        }
    };
    permit.record_first_output();
    if !is_stream {
        permit.set_tokens(usage(&data));
        permit.finish(pool::Outcome::Complete);
        return Ok(front::Body::from(data));
    }
    let mut tally = back::Tally::default();
    tally.push(&data);
    permit.set_tokens(tally.tokens());
    if tally.is_done() {
        permit.finish(pool::Outcome::Complete);
        return Ok(front::Body::from(data));
    }
    permit.finish(pool::Outcome::Failed);
    let refusal = Refusal::new(Kind::EndpointFailed, "the endpoint closed the stream early");
    Err(Failure::new(refusal, true))
}

/// Returns the permit if the status is one that the caller gets.
///
/// A refusal of the endpoint lets idempotent work be tried again. It is no
/// proof that nothing ran, so that other work ends with an unknown outcome.
pub(crate) fn check_status(
    status: http::StatusCode,
    is_fenced: bool,
    is_idempotent: bool,
    permit: permit::Permit,
) -> Result<permit::Permit, Failure> {
    let is_full = matches!(
        status,
        http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE
    );
    if is_fenced || is_full {
        permit.finish(pool::Outcome::Refused);
        let text = format!("the endpoint refused with {status}");
        let kind = if is_idempotent {
            Kind::EndpointConnect
        } else {
            Kind::EndpointFailed
        };
        return Err(Failure::new(Refusal::new(kind, text), true));
    }
    if status.is_server_error() {
        permit.finish(pool::Outcome::Failed);
        let text = format!("the endpoint failed with {status}");
        return Err(Failure::new(Refusal::new(Kind::EndpointFailed, text), true));
    }
    Ok(permit)
}

/// Returns the headers that are passed on to the caller.
pub(crate) fn caller_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = headers.clone();
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Returns the output tokens that an answer states, or 0.
fn usage(data: &[u8]) -> u32 {
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u32,
    }
    #[derive(serde::Deserialize)]
    struct Answer {
        usage: Usage,
    }
    serde_json::from_slice::<Answer>(data).map_or(0, |answer| answer.usage.completion_tokens)
}
