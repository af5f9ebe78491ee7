//! Requests the rest of an interrupted stream from another endpoint.

use core::time;

use answer::{Kind, Refusal};
use bytes::Bytes;

use crate::broker;
use crate::build;
use crate::flow;
use crate::outbound;
use crate::permit;
use crate::reading;
use crate::record;
use crate::relay;
use crate::watch;
use base::mutex;

/// Request for the rest of a stream.
pub(crate) struct Rest {
    pub(crate) body: Bytes,
    /// Number of earlier attempts.
    pub(crate) attempt: u16,
    /// Endpoint of the last failed or silent run.
    pub(crate) avoid: String,
    /// Endpoint of the silent run, which may go on.
    pub(crate) silent: Option<String>,
    /// Build of the stream so far; absent if its events state none.
    pub(crate) build: Option<String>,
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
            body: rest.body.clone(),
            ..resume.request.clone()
        };
        if let Some(build) = &rest.build {
            return self.resume_at(resume, &request, &rest, build).await;
        }
        let ask = self.rest_ask(resume, &request, rest.attempt, &rest.avoid);
        let silent = rest.silent.as_slice();
        let mut queued = time::Duration::ZERO;
        let permit = self.acquire(&ask, silent, &mut queued).await?;
        let mut watch = watch::Watch::new(self.stall_timeout, resume.terms.trace.clone());
        self.request_rest(resume, &request, permit, &mut watch)
            .await
            .map_err(|failure| failure.refusal)
    }

    /// Requests the rest of a stream from one endpoint after another until one is of the
    /// build of the stream.
    ///
    /// An endpoint of another build has not failed: its run is cancelled. The grant of a
    /// run that goes on is recorded in the trace only then.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the home of the shard or of the endpoint, or `NoEndpoint`
    /// after [`flow::ATTEMPTS_MAX`] grants.
    async fn resume_at(
        &self,
        resume: &relay::Resume,
        request: &front::Request,
        rest: &Rest,
        build: &str,
    ) -> Result<relay::Source, Refusal> {
        let mut attempt = rest.attempt;
        let mut avoid = rest.avoid.clone();
        for _ in 0..flow::ATTEMPTS_MAX {
            let ask = self.rest_ask(resume, request, attempt, &avoid);
            let permit = self.broker.ask(&ask).await?;
            let endpoint = permit.grant().name.clone();
            if rest.silent.as_ref() == Some(&endpoint) || resume.is_of_other_build(&endpoint) {
                permit.finish(pool::Outcome::Unused);
                if endpoint == avoid {
                    // The home has no other one.
                    break;
                }
                avoid = endpoint;
                continue;
            }
            if permit.grant().dispatch_by < self.clock.now() {
                permit.finish(pool::Outcome::Unused);
                continue;
            }
            let failure = match self.begin_at(resume, request, permit, build).await {
                Ok(source) => return Ok(source),
                Err(failure) => failure,
            };
            let trace = &resume.terms.trace;
            trace.record_unfit(&endpoint, &failure.refusal);
            if !failure.is_retryable || !resume.has_other_builds() {
                return Err(failure.refusal);
            }
            avoid = endpoint;
            attempt += 1;
        }
        let text = "no other endpoint of the build of the stream takes the request";
        Err(Refusal::new(Kind::NoEndpoint, text))
    }

    /// Requests the rest of a stream and reads it until its build is known.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint fails or is of another build. The permit is finished in
    /// that case.
    async fn begin_at(
        &self,
        resume: &relay::Resume,
        request: &front::Request,
        permit: permit::Permit,
        build: &str,
    ) -> Result<relay::Source, reading::Failure> {
        let endpoint = permit.grant().name.clone();
        let mut watch = watch::Watch::new(self.stall_timeout, record::Trace::default());
        let mut source = self
            .request_rest(resume, request, permit, &mut watch)
            .await?;
        let mut first = build::First::default();
        let mut data = source.first.take().unwrap_or_default();
        let is_fit = loop {
            if let Some(is_fit) = first.push(&data, build) {
                break is_fit;
            }
            let read = watch.next(&mut source.permit, &mut source.body).await;
            data = match reading::some_data(read) {
                Ok(data) => data,
                Err(failure) => {
                    source.permit.finish(failure.outcome());
                    return Err(failure);
                }
            };
        };
        if !is_fit {
            source.permit.finish(pool::Outcome::Cancelled);
            resume.note_other_build(endpoint);
            let text = "the endpoint is of another build than the stream";
            let refusal = Refusal::new(Kind::EndpointInvalid, text);
            return Err(reading::Failure::new(refusal, true));
        }
        source.permit.trace(&resume.terms.trace);
        source.first = Some(first.into_data());
        Ok(source)
    }

    /// Sends a request for the rest of a stream and reads the first data.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not answer with a stream. The permit is finished in
    /// that case.
    async fn request_rest(
        &self,
        resume: &relay::Resume,
        request: &front::Request,
        permit: permit::Permit,
        watch: &mut watch::Watch,
    ) -> Result<relay::Source, reading::Failure> {
        let built =
            outbound::build(request, permit.grant(), resume.terms.tier).map_err(|cause| {
                let refusal = Refusal::new(Kind::Internal, cause.to_string());
                reading::Failure::new(refusal, false)
            })?;
        let (permit, head, body) = self.send(permit, built, true).await?;
        if !head.status.is_success() {
            permit.finish(pool::Outcome::Failed);
            let text = format!(
                "the endpoint did not resume the stream: status {}",
                head.status
            );
            let refusal = Refusal::new(Kind::EndpointFailed, text);
            return Err(reading::Failure::new(refusal, true));
        }
        reading::begin_stream(permit, &head, body, watch).await
    }

    /// Returns the ask for a slot for the rest of a stream.
    fn rest_ask<'a>(
        &self,
        resume: &'a relay::Resume,
        request: &'a front::Request,
        attempt: u16,
        avoid: &'a str,
    ) -> broker::Ask<'a> {
        broker::Ask {
            request,
            terms: &resume.terms,
            deadline: self.clock.now() + resume.terms.deadline,
            attempt,
            avoid: Some(avoid),
        }
    }
}

impl relay::Resume {
    fn is_of_other_build(&self, endpoint: &String) -> bool {
        mutex::lock(&self.other_builds).contains(endpoint)
    }

    fn has_other_builds(&self) -> bool {
        !mutex::lock(&self.other_builds).is_empty()
    }

    fn note_other_build(&self, endpoint: String) {
        mutex::lock(&self.other_builds).push(endpoint);
    }
}
