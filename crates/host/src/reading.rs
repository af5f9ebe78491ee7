//! Reads responses of endpoints as far as the outcome of an attempt depends on them.

use core::time;

use answer::{Kind, Refusal};
use back::event;
use bytes::Bytes;

use crate::permit;
use crate::relay;
use crate::watch;

/// Maximum size of an answer that is not streamed.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Headers that apply to one connection and are not passed to the caller.
const CONNECTION_HEADERS: [&str; 5] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
];

/// End of an attempt without an answer.
pub(crate) struct Failure {
    pub(crate) refusal: Refusal,
    /// Whether another attempt may succeed; the caller of this module decides
    /// whether it is safe.
    pub(crate) is_retryable: bool,
    /// Whether the connection broke before the answer was whole. An endpoint that has
    /// answered with a refusal or a failure, or has ended its answer as declared, has not
    /// crashed.
    pub(crate) is_broken: bool,
}

impl Failure {
    pub(crate) const fn new(refusal: Refusal, is_retryable: bool) -> Self {
        Self {
            refusal,
            is_retryable,
            is_broken: false,
        }
    }

    /// Returns the end of an attempt whose connection broke, which another attempt may
    /// follow.
    pub(crate) fn broken(cause: String) -> Self {
        Self {
            refusal: Refusal::new(Kind::EndpointFailed, cause),
            is_retryable: true,
            is_broken: true,
        }
    }

    /// Returns the end of an attempt whose answer with this head ended early, though its
    /// connection did not break.
    fn ended(head: &http::response::Parts, cause: &str) -> Self {
        Self {
            is_broken: !back::response::is_framed(head.version, &head.headers),
            ..Self::broken(cause.to_owned())
        }
    }

    /// Returns the outcome of the run.
    pub(crate) const fn outcome(&self) -> pool::Outcome {
        if self.is_broken {
            pool::Outcome::Broken
        } else {
            pool::Outcome::Failed
        }
    }
}

/// Reads the first data of a stream with this head.
///
/// # Errors
///
/// Fails if the stream ends or breaks before any data.
pub(crate) async fn begin_stream(
    mut permit: permit::Permit,
    head: &http::response::Parts,
    mut body: back::Body,
    watch: &mut watch::Watch,
) -> Result<relay::Source, Failure> {
    // The first data is read before the caller receives an answer, so that the
    // request can be retried if the endpoint fails before any output.
    match some_data(watch.next(&mut permit, &mut body).await) {
        Ok(first) => {
            permit.record_first_output();
            Ok(relay::Source {
                permit,
                is_framed: back::response::is_framed(head.version, &head.headers),
                body,
                first: Some(first),
            })
        }
        Err(failure) => {
            permit.finish(failure.outcome());
            Err(failure)
        }
    }
}

/// Returns the data of a read before the first event of a stream.
///
/// # Errors
///
/// Fails if the stream has ended or is broken.
pub(crate) fn some_data(read: Result<Option<Bytes>, relay::Error>) -> Result<Bytes, Failure> {
    match read {
        Ok(Some(data)) => Ok(data),
        Ok(None) => {
            let text = "the answer of the endpoint is empty";
            Err(Failure::new(
                Refusal::new(Kind::EndpointInvalid, text),
                true,
            ))
        }
        Err(relay::Error(cause)) => Err(Failure::broken(cause)),
    }
}

/// Reads a whole answer with this head and finishes the permit.
///
/// # Errors
///
/// Fails if the answer breaks off, is above [`ANSWER_MAX_BYTES`], is a stream without its
/// last event, or ends within its JSON value.
pub(crate) async fn read_whole(
    mut permit: permit::Permit,
    head: &http::response::Parts,
    body: back::Body,
    is_stream: bool,
    watch: &mut watch::Watch,
) -> Result<front::Body, Failure> {
    let data = match read_data(&mut permit, body, watch).await {
        Ok(data) => data,
        Err(failure) => {
            permit.finish(failure.outcome());
            return Err(failure);
        }
    };
    if !is_stream {
        if is_partial_json(head, &data) {
            let failure = Failure::ended(head, "the answer ended within its JSON value");
            permit.finish(failure.outcome());
            return Err(failure);
        }
        // A whole answer may be empty.
        watch.record_data(&mut permit);
    }
    permit.record_first_output();
    if !is_stream {
        permit.set_tokens(usage(&data));
        permit.finish(pool::Outcome::Complete);
        return Ok(front::Body::from(data));
    }
    let data = event::Splitter::default().split(data);
    let mut tally = back::EventCounter::default();
    tally.push(&data);
    permit.set_tokens(tally.tokens());
    if tally.is_done() {
        permit.finish(pool::Outcome::Complete);
        return Ok(front::Body::from(data));
    }
    let failure = Failure::ended(head, "the endpoint closed the stream early");
    permit.finish(failure.outcome());
    Err(failure)
}

/// Returns whether an answer that its head declares to be JSON ends within its value. How
/// the body is framed does not show this.
fn is_partial_json(head: &http::response::Parts, data: &[u8]) -> bool {
    let is_json = back::response::media_type(&head.headers)
        .is_some_and(|kind| kind.eq_ignore_ascii_case("application/json"));
    // An answer without a body has no value.
    if !is_json || data.is_empty() {
        return false;
    }
    serde_json::from_slice::<serde::de::IgnoredAny>(data).is_err_and(|error| error.is_eof())
}

/// Reads the data of a whole answer.
///
/// # Errors
///
/// Fails if the connection breaks or the answer is above [`ANSWER_MAX_BYTES`].
async fn read_data(
    permit: &mut permit::Permit,
    mut body: back::Body,
    watch: &mut watch::Watch,
) -> Result<Bytes, Failure> {
    let mut all = bytes::BytesMut::new();
    while let Some(data) = (watch.next(permit, &mut body).await)
        .map_err(|relay::Error(cause)| Failure::broken(cause))?
    {
        if all.len() + data.len() > ANSWER_MAX_BYTES {
            let text = format!("the answer is above {ANSWER_MAX_BYTES} bytes");
            let refusal = Refusal::new(Kind::EndpointFailed, text);
            return Err(Failure::new(refusal, true));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}

/// Returns the permit if the status is passed to the caller.
///
/// # Errors
///
/// Fails for 429, 503, a rejected fencing number and other server errors. A refusal by
/// the endpoint allows a retry of idempotent requests; `refused` is its kind. It does not
/// prove that nothing ran to requests that may run once only, nor on a connection that
/// has carried another answer: it may be the refusal of the request before.
pub(crate) fn check_status(
    head: &http::response::Parts,
    is_fenced: bool,
    refused: Kind,
    mut permit: permit::Permit,
) -> Result<permit::Permit, Failure> {
    let status = head.status;
    if let Some(pause) = pause(head) {
        permit.set_pause(pause);
    }
    let is_full = matches!(
        status,
        http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE
    );
    if is_fenced || is_full {
        permit.finish(pool::Outcome::Refused);
        let text = format!("the endpoint refused with {status}");
        return Err(Failure::new(Refusal::new(refused, text), true));
    }
    if status.is_server_error() {
        permit.finish(pool::Outcome::Failed);
        let text = format!("the endpoint failed with {status}");
        return Err(Failure::new(Refusal::new(Kind::EndpointFailed, text), true));
    }
    Ok(permit)
}

/// Returns the pause for which an endpoint asks with a refusal. A value that is no
/// number of seconds is ignored.
fn pause(head: &http::response::Parts) -> Option<time::Duration> {
    if head.status != http::StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = head.headers.get(http::header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    time::Duration::try_from_secs_f64(seconds).ok()
}

/// Returns the headers that are passed to the caller.
pub(crate) fn caller_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = headers.clone();
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Returns the number of output tokens in the `usage` of an answer, or 0.
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
