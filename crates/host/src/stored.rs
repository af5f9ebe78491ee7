use core::time;

use answer::{Kind, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;

/// Header that marks the stored answer of an earlier run.
const REPLAYED: &str = "idempotency-replayed";

/// Value of `retry-after` for refusals without an estimate.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// The complete answer of a non-idempotent run.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    /// Time that the run spent queued; zero if another host ran it.
    pub(crate) queued: time::Duration,
}

/// Answer or refusal of a run, which its repeats receive as well.
pub(crate) type Outcome = Result<Answer, Refusal>;

/// Reads an answer to its end.
///
/// # Errors
///
/// Returns `EndpointFailed` if the answer ends early.
pub(crate) async fn read(answer: front::Response) -> Outcome {
    match answer.body.collect().await {
        Ok(body) => Ok(Answer {
            status: answer.status,
            headers: answer.headers,
            body: body.to_bytes(),
            queued: answer.queue_time,
        }),
        Err(cause) => Err(Refusal::new(Kind::EndpointFailed, cause.to_string())),
    }
}

impl Answer {
    /// Marks the answer as that of an earlier run.
    pub(crate) fn replayed(mut self) -> Self {
        self.headers
            .insert(REPLAYED, http::HeaderValue::from_static("true"));
        self
    }
}

/// Returns the refusal of a request with an idempotency key.
pub(crate) fn refusal(kind: Kind) -> Refusal {
    let text = match kind {
        Kind::OutcomeUnknown => "an earlier attempt with this key may have run",
        Kind::OwnerUnreachable => "the owner of the key holds no lease at present",
        Kind::KeyReused => "the key was used with a different request",
        Kind::BadKey => "the key is not valid",
        Kind::KeptFull => "the memory for kept results is full",
        _ => "the request was refused",
    };
    let refusal = Refusal::new(kind, text);
    match kind.entry().advice {
        answer::Advice::After => refusal.with_retry_after(RETRY_AFTER),
        _ => refusal,
    }
}
