use core::time;

use answer::{Kind, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;

/// Header that marks the kept answer of an earlier run.
const REPLAYED: &str = "idempotency-replayed";

/// The whole answer of a non-idempotent run.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    /// Time that the run spent queued, where this host knows it.
    pub(crate) queued: time::Duration,
}

/// What a run and its repeats are answered.
pub(crate) type Ended = Result<Kept, Refusal>;

/// Reads an answer to its end.
///
/// # Errors
///
/// Refuses an answer that breaks off.
pub(crate) async fn read(answer: front::Answer) -> Ended {
    match answer.body.collect().await {
        Ok(body) => Ok(Kept {
            status: answer.status,
            headers: answer.headers,
            body: body.to_bytes(),
            queued: answer.queued,
        }),
        Err(cause) => Err(Refusal::new(Kind::EndpointFailed, cause.to_string())),
    }
}

impl Kept {
    /// Marks the answer as one of an earlier run.
    pub(crate) fn replayed(mut self) -> Self {
        self.headers
            .insert(REPLAYED, http::HeaderValue::from_static("true"));
        self
    }
}
