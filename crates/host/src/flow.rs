use core::time;

use answer::{Kind, Refusal, RunState};

use crate::broker;
use crate::outbound;
use crate::permit;
use crate::reading;
use crate::relay;
use crate::terms;
use base::clock;

/// Upper bound of attempts per request. The retry budget bounds repeats of a
/// class; this bounds those of one request, such as against endpoints that
/// answer every request with garbage at once.
const ATTEMPTS_MAX: u16 = 4;

/// How the answer is delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// Passed on while it arrives, where the request asks for it.
    Streamed,
    /// Read to its end first.
    Whole,
}

/// Decides directly before each dispatch whether it may go ahead.
pub(crate) type Gate<'a> = &'a (dyn Fn() -> Result<(), Refusal> + Send + Sync);

/// Takes requests from queue to answer.
#[derive(Clone)]
pub(crate) struct Flow {
    pub(crate) broker: broker::Broker,
    pub(crate) client: back::Client,
    pub(crate) clock: clock::Clock,
}

/// What is known about a request across its attempts.
struct Progress {
    attempt: u16,
    avoid: Option<String>,
    may_have_run: bool,
    queued: time::Duration,
    /// Refusal of the last attempt.
    last: Option<Refusal>,
}

/// One attempt.
struct Attempt<'a> {
    request: &'a front::Request,
    terms: &'a terms::Terms,
    delivery: Delivery,
    queued: time::Duration,
    number: u16,
}

impl Flow {
    /// Serves one request, with retries as far as they are safe.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose run state covers all attempts.
    pub(crate) async fn serve(
        &self,
        request: &front::Request,
        terms: &terms::Terms,
        delivery: Delivery,
        gate: Gate<'_>,
    ) -> Result<front::Response, Refusal> {
        let deadline = self.clock.now() + terms.deadline;
        let mut progress = Progress {
            attempt: 0,
            avoid: None,
            may_have_run: false,
            queued: time::Duration::ZERO,
            last: None,
        };
        loop {
            let want = broker::Want {
                request,
                terms,
                deadline,
                attempt: progress.attempt,
                avoid: progress.avoid.as_deref(),
            };
            let permit = match self.broker.ask(&want).await {
                Ok(permit) => permit,
                Err(refusal) => return Err(truthful(refusal, &progress)),
            };
            let permit = permit.traced(&terms.trace);
            progress.queued += permit.queued();
            if permit.grant().dispatch_by < self.clock.now() {
                permit.finish(pool::Outcome::Unused);
                continue;
            }
            if let Err(refusal) = gate() {
                permit.finish(pool::Outcome::Unused);
                return Err(truthful(refusal, &progress));
            }
            let endpoint = permit.grant().name.clone();
            let attempt = Attempt {
                request,
                terms,
                delivery,
                queued: progress.queued,
                number: progress.attempt,
            };
            let failure = match self.attempt(attempt, permit, deadline).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            progress.may_have_run |= failure.refusal.run_state() != RunState::NotRun;
            if failure.refusal.kind == Kind::EndpointFailed {
                self.broker.blame(request, &endpoint);
            }
            let safe = terms.idempotent || !progress.may_have_run;
            let last = progress.attempt + 1 >= ATTEMPTS_MAX;
            if !failure.retry || !safe || last {
                return Err(truthful(failure.refusal, &progress));
            }
            terms
                .trace
                .retried(&request.id, &endpoint, &failure.refusal);
            progress.attempt += 1;
            progress.avoid = Some(endpoint);
            progress.last = Some(failure.refusal);
        }
    }

    /// Asks another endpoint for the rest of a stream.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the ask or of the endpoint.
    pub(crate) async fn resume(
        &self,
        resume: &relay::Resume,
        body: bytes::Bytes,
        avoid: &str,
    ) -> Result<relay::Source, Refusal> {
        let request = front::Request {
            body,
            ..resume.request.clone()
        };
        let want = broker::Want {
            request: &request,
            terms: &resume.terms,
            deadline: self.clock.now() + resume.terms.deadline,
            attempt: resume.attempt,
            avoid: Some(avoid),
        };
        let permit = loop {
            let permit = self.broker.ask(&want).await?;
            if permit.grant().dispatch_by >= self.clock.now() {
                break permit.traced(&resume.terms.trace);
            }
            permit.finish(pool::Outcome::Unused);
        };
        let built = outbound::build(&request, permit.grant(), resume.terms.tier)
            .map_err(|cause| Refusal::new(Kind::Internal, cause.to_string()))?;
        let (permit, head, body) = self
            .send(permit, built, true)
            .await
            .map_err(|failure| failure.refusal)?;
        if !head.status.is_success() {
            permit.finish(pool::Outcome::Failed);
            let text = format!("the endpoint did not go on: {}", head.status);
            return Err(Refusal::new(Kind::EndpointFailed, text));
        }
        reading::begin(permit, body)
            .await
            .map_err(|failure| failure.refusal)
    }

    fn resumption(&self, attempt: &Attempt<'_>) -> relay::Resume {
        let force = self.broker.state.force();
        let pool = force.settings.pools.get(attempt.request.target.pool());
        relay::Resume {
            flow: self.clone(),
            request: attempt.request.clone(),
            terms: attempt.terms.clone(),
            attempt: attempt.number,
            allowed: attempt.terms.idempotent && pool.is_some_and(|pool| pool.resume),
        }
    }

    async fn attempt(
        &self,
        attempt: Attempt<'_>,
        permit: permit::Permit,
        deadline: time::Duration,
    ) -> Result<front::Response, reading::Failure> {
        let left = deadline.saturating_sub(self.clock.now());
        match tokio::time::timeout(left, self.exchange(attempt, permit)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                let text = "the deadline passed while the request ran";
                let refusal = Refusal::new(Kind::EndpointTimeout, text);
                Err(reading::Failure::new(refusal, false))
            }
        }
    }

    async fn exchange(
        &self,
        attempt: Attempt<'_>,
        permit: permit::Permit,
    ) -> Result<front::Response, reading::Failure> {
        let request = attempt.request;
        let built = match outbound::build(request, permit.grant(), attempt.terms.tier) {
            Ok(built) => built,
            Err(cause) => {
                permit.finish(pool::Outcome::Unused);
                let refusal = Refusal::new(Kind::BadRequest, cause.to_string());
                return Err(reading::Failure::new(refusal, false));
            }
        };
        let idempotent = attempt.terms.idempotent;
        let (permit, head, body) = self.send(permit, built, idempotent).await?;
        let stream = request.is_stream && head.status.is_success();
        let body = match attempt.delivery {
            Delivery::Streamed if stream => {
                let source = reading::begin(permit, body).await?;
                relay::events(source, self.resumption(&attempt))
            }
            _ => reading::whole(permit, body, stream).await?,
        };
        Ok(front::Response {
            status: head.status,
            headers: reading::passed(&head.headers),
            body,
            class: attempt.terms.class.to_string(),
            queue_time: attempt.queued,
        })
    }
}

impl Flow {
    /// Returns whether an engine refused the fencing number.
    ///
    /// A service's own 409 is an answer for the caller.
    fn is_fenced(&self, head: &http::response::Parts, permit: &permit::Permit) -> bool {
        if head.status != http::StatusCode::CONFLICT {
            return false;
        }
        let force = self.broker.state.force();
        let name = permit.grant().name.split('@').next().unwrap_or_default();
        force.settings.endpoints.get(name).is_some_and(|endpoint| {
            let pool = force.settings.pools.get(&endpoint.pool);
            endpoint.fencing == conf::settings::Fencing::Checked
                && pool.is_some_and(|pool| pool.kind == conf::settings::Kind::Model)
        })
    }

    /// Sends a request and returns the head of an answer that is not a refusal
    /// or failure of the endpoint.
    async fn send(
        &self,
        permit: permit::Permit,
        built: http::Request<http_body_util::Full<bytes::Bytes>>,
        idempotent: bool,
    ) -> Result<(permit::Permit, http::response::Parts, back::Body), reading::Failure> {
        let reuse = if idempotent {
            back::Reuse::Pooled
        } else {
            back::Reuse::Fresh
        };
        let response = match self.client.send(built, reuse).await {
            Ok(response) => response,
            Err(back::Error::NotSent(cause)) => {
                permit.finish(pool::Outcome::Unreachable);
                return Err(reading::Failure::new(
                    Refusal::new(Kind::EndpointConnect, cause),
                    true,
                ));
            }
            Err(cause) => {
                permit.finish(pool::Outcome::Failed);
                let refusal = Refusal::new(Kind::EndpointFailed, cause.to_string());
                return Err(reading::Failure::new(refusal, true));
            }
        };
        let (head, body) = response.into_parts();
        let fenced = self.is_fenced(&head, &permit);
        let permit = reading::check_status(head.status, fenced, idempotent, permit)?;
        Ok((permit, head, body))
    }
}

/// Keeps a refusal's run state true when an earlier attempt may have run.
///
/// A repeat that the retry budget does not allow ends with the failure of the
/// attempt before it.
fn truthful(refusal: Refusal, progress: &Progress) -> Refusal {
    if let (Kind::RetryBudget, Some(last)) = (refusal.kind, &progress.last) {
        let retry_after = refusal.retry_after;
        return truthful(
            Refusal {
                retry_after,
                ..last.clone()
            },
            progress,
        );
    }
    if progress.may_have_run && refusal.run_state() == RunState::NotRun {
        return Refusal {
            kind: Kind::EndpointFailed,
            ..refusal
        };
    }
    refusal
}
