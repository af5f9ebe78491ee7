//! Requests the rest of an interrupted stream from another endpoint.

use core::time;

use answer::{Kind, Refusal};
use bytes::Bytes;

use crate::broker;
use crate::flow;
use crate::outbound;
use crate::reading;
use crate::relay;
use crate::watch;

/// Request for the rest of a stream.
pub(crate) struct Rest {
    pub(crate) body: Bytes,
    /// Number of earlier attempts.
    pub(crate) attempt: u16,
    /// Endpoint of the last failed or silent run.
    pub(crate) avoid: String,
    /// Endpoint of the silent run, which may go on.
    pub(crate) silent: Option<String>,
}

impl flow::Flow {
    /// Requests the rest of an interrupted stream from another endpoint, within the
    /// deadline of a new request.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the home of the shard or of the endpoint.
    pub(crate) async fn resume(
        &self,
        resume: &relay::Resume,
        rest: Rest,
    ) -> Result<relay::Source, Refusal> {
        let deadline = resume.terms.deadline;
        let resumed = tokio::time::timeout(deadline, self.resume_untimed(resume, rest));
        resumed.await.unwrap_or_else(|_| {
            let text = "the deadline passed while the rest of the stream was requested";
            Err(Refusal::new(Kind::EndpointTimeout, text))
        })
    }

    async fn resume_untimed(
        &self,
        resume: &relay::Resume,
        rest: Rest,
    ) -> Result<relay::Source, Refusal> {
        let request = front::Request {
            body: rest.body,
            ..resume.request.clone()
        };
        let ask = broker::Ask {
            request: &request,
            terms: &resume.terms,
            deadline: self.clock.now() + resume.terms.deadline,
            attempt: rest.attempt,
            avoid: Some(&rest.avoid),
        };
        let silent = rest.silent.as_slice();
        let mut queued = time::Duration::ZERO;
        let permit = self.acquire(&ask, silent, &mut queued).await?;
        let built = outbound::build(&request, permit.grant(), resume.terms.tier)
            .map_err(|cause| Refusal::new(Kind::Internal, cause.to_string()))?;
        let (permit, head, body) = self
            .send(permit, built, true)
            .await
            .map_err(|failure| failure.refusal)?;
        if !head.status.is_success() {
            permit.finish(pool::Outcome::Failed);
            let text = format!(
                "the endpoint did not resume the stream: status {}",
                head.status
            );
            return Err(Refusal::new(Kind::EndpointFailed, text));
        }
        let mut watch = watch::Watch::new(self.stall_timeout, resume.terms.trace.clone());
        reading::begin_stream(permit, body, &mut watch)
            .await
            .map_err(|failure| failure.refusal)
    }
}
