use core::time;

use answer::{Kind, Refusal, RunState};

use crate::broker;
use crate::outbound;
use crate::permit;
use crate::reading;
use crate::relay;
use crate::terms;
use base::clock;

/// Maximum number of attempts per request, the first one included. The retry
/// budget limits the retries of a class; this limits those of one request, for
/// example when every endpoint answers at once with an invalid response.
const ATTEMPTS_MAX: u16 = 4;

/// How the answer is delivered to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// Relayed while it arrives, if the request asks for a stream.
    Streamed,
    /// Buffered in full before it is delivered.
    Whole,
}

/// Check that runs immediately before each dispatch; an error prevents it.
pub(crate) type Gate<'a> = &'a (dyn Fn() -> Result<(), Refusal> + Send + Sync);

/// Serves requests: acquires a slot at an endpoint, dispatches and retries.
#[derive(Clone)]
pub(crate) struct Flow {
    pub(crate) broker: broker::Broker,
    pub(crate) client: back::Client,
    pub(crate) clock: clock::Clock,
    /// Longest time without data in the middle of an answer.
    pub(crate) stall_timeout: time::Duration,
}

/// State of a request across its attempts.
struct Progress {
    /// Number of failed attempts so far.
    attempt: u16,
    /// Endpoint of the last failed attempt.
    avoid: Option<String>,
    may_have_run: bool,
    /// Time spent queued, summed over all attempts.
    queued: time::Duration,
    /// Refusal with which the last attempt ended.
    last_refusal: Option<Refusal>,
}

/// One dispatch of a request to an endpoint.
struct Attempt<'a> {
    request: &'a front::Request,
    terms: &'a terms::Terms,
    delivery: Delivery,
    queued: time::Duration,
    number: u16,
}

impl Flow {
    /// Serves one request and retries it as long as that is safe.
    ///
    /// A retry is safe if the request is idempotent or no attempt may have run.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose run state accounts for all attempts.
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
            last_refusal: None,
        };
        loop {
            let ask = broker::Ask {
                request,
                terms,
                deadline,
                attempt: progress.attempt,
                avoid: progress.avoid.as_deref(),
            };
            let permit = match self.broker.ask(&ask).await {
                Ok(permit) => permit,
                Err(refusal) => return Err(with_run_state(refusal, &progress)),
            };
            let permit = permit.traced(&terms.trace);
            progress.queued += permit.queued();
            if permit.grant().dispatch_by < self.clock.now() {
                permit.finish(pool::Outcome::Unused);
                continue;
            }
            if let Err(refusal) = gate() {
                permit.finish(pool::Outcome::Unused);
                return Err(with_run_state(refusal, &progress));
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
                self.broker.report_crash(request, &endpoint);
            }
            let is_safe = terms.is_idempotent || !progress.may_have_run;
            let is_last = progress.attempt + 1 >= ATTEMPTS_MAX;
            if !failure.is_retryable || !is_safe || is_last {
                return Err(with_run_state(failure.refusal, &progress));
            }
            terms
                .trace
                .record_retry(&request.id, &endpoint, &failure.refusal);
            progress.attempt += 1;
            progress.avoid = Some(endpoint);
            progress.last_refusal = Some(failure.refusal);
        }
    }

    /// Requests the rest of an interrupted stream from another endpoint.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the home of the shard or of the endpoint.
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
        let ask = broker::Ask {
            request: &request,
            terms: &resume.terms,
            deadline: self.clock.now() + resume.terms.deadline,
            attempt: resume.attempt,
            avoid: Some(avoid),
        };
        let permit = loop {
            let permit = self.broker.ask(&ask).await?;
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
            let text = format!(
                "the endpoint did not resume the stream: status {}",
                head.status
            );
            return Err(Refusal::new(Kind::EndpointFailed, text));
        }
        reading::begin_stream(permit, body, self.stall_timeout)
            .await
            .map_err(|failure| failure.refusal)
    }

    fn resume_context(&self, attempt: &Attempt<'_>) -> relay::Resume {
        let active = self.broker.state.active();
        let pool = active.settings.pools.get(attempt.request.target.pool());
        relay::Resume {
            flow: self.clone(),
            request: attempt.request.clone(),
            terms: attempt.terms.clone(),
            attempt: attempt.number,
            is_allowed: attempt.terms.is_idempotent && pool.is_some_and(|pool| pool.resume),
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
        let is_idempotent = attempt.terms.is_idempotent;
        let (permit, head, body) = self.send(permit, built, is_idempotent).await?;
        let is_stream = request.is_stream && head.status.is_success();
        let body = match attempt.delivery {
            Delivery::Streamed if is_stream => {
                let source = reading::begin_stream(permit, body, self.stall_timeout).await?;
                relay::events(source, self.resume_context(&attempt))
            }
            _ => reading::read_whole(permit, body, is_stream, self.stall_timeout).await?,
        };
        Ok(front::Response {
            status: head.status,
            headers: reading::caller_headers(&head.headers),
            body,
            class: attempt.terms.class.to_string(),
            queue_time: attempt.queued,
        })
    }
}

impl Flow {
    /// Returns whether an engine rejected the fencing number.
    ///
    /// Only models with `fencing = checked` reject it with 409. A 409 of a
    /// service belongs to its own protocol and is passed to the caller.
    fn is_fenced(&self, head: &http::response::Parts, permit: &permit::Permit) -> bool {
        if head.status != http::StatusCode::CONFLICT {
            return false;
        }
        let active = self.broker.state.active();
        let name = permit.grant().name.split('@').next().unwrap_or_default();
        active.settings.endpoints.get(name).is_some_and(|endpoint| {
            let pool = active.settings.pools.get(&endpoint.pool);
            endpoint.fencing == conf::settings::Fencing::Checked
                && pool.is_some_and(|pool| pool.kind == conf::settings::Kind::Model)
        })
    }

    /// Sends a request and returns the response head and body.
    ///
    /// A non-idempotent request uses a new connection: an idle one that the
    /// endpoint closes at the same moment would leave the outcome unknown.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent or the status is a refusal or a
    /// failure of the endpoint. The permit is finished in that case.
    async fn send(
        &self,
        permit: permit::Permit,
        built: http::Request<http_body_util::Full<bytes::Bytes>>,
        is_idempotent: bool,
    ) -> Result<(permit::Permit, http::response::Parts, back::Body), reading::Failure> {
        let reuse = if is_idempotent {
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
        let is_fenced = self.is_fenced(&head, &permit);
        let permit = reading::check_status(head.status, is_fenced, is_idempotent, permit)?;
        Ok((permit, head, body))
    }
}

/// Adjusts a refusal so that its run state accounts for earlier attempts.
///
/// If an earlier attempt may have run, a refusal with `not_run` becomes
/// `EndpointFailed`. A retry that the retry budget rejects returns the failure
/// of the preceding attempt.
fn with_run_state(refusal: Refusal, progress: &Progress) -> Refusal {
    if let (Kind::RetryBudget, Some(last)) = (refusal.kind, &progress.last_refusal) {
        let retry_after = refusal.retry_after;
        return with_run_state(
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
