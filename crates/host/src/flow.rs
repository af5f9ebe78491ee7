use core::time;
use std::sync;

use answer::{Kind, Refusal, Run};

use crate::clock;
use crate::outbound;
use crate::permit;
use crate::relay;
use crate::state;

/// Upper bound of an answer that is not streamed, in bytes.
const WHOLE_MAX: usize = 16 * 1024 * 1024;

/// Upper bound of attempts per request. The retry budget bounds repeats of a
/// class; this bounds those of one request, such as against endpoints that
/// answer every request with garbage at once.
const ATTEMPTS_MAX: u16 = 4;

/// Headers of an endpoint's answer that concern one connection only.
const NOT_PASSED: [&str; 5] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
];

/// Takes requests from queue to answer.
#[derive(Clone)]
pub(crate) struct Flow {
    pub(crate) state: sync::Arc<state::State>,
    pub(crate) client: back::Client,
    pub(crate) clock: clock::Clock,
}

/// How one attempt ended without an answer.
struct Failure {
    refusal: Refusal,
    retry: bool,
    endpoint: pool::EndpointId,
}

/// What is known about a request across its attempts.
struct Progress {
    attempt: u16,
    avoid: Option<pool::EndpointId>,
    may_have_run: bool,
    queued: time::Duration,
}

impl Flow {
    /// Serves one request, with retries as far as they are safe.
    pub(crate) async fn serve(
        &self,
        request: &front::Request,
        resolved: &class::Outcome,
    ) -> Result<front::Answer, Refusal> {
        let deadline = self.clock.now() + resolved.deadline;
        let mut progress = Progress {
            attempt: 0,
            avoid: None,
            may_have_run: false,
            queued: time::Duration::ZERO,
        };
        loop {
            let permit = match self.ask(request, resolved, deadline, &progress).await {
                Ok(permit) => permit,
                Err(refusal) => return Err(truthful(refusal, &progress)),
            };
            progress.queued += permit.queued();
            let name = permit.grant().name.clone();
            let failure = match self
                .attempt(request, resolved, permit, deadline, progress.queued)
                .await
            {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            progress.may_have_run |= failure.refusal.run() != Run::NotRun;
            let repeat_safe = resolved.idempotent || !progress.may_have_run;
            let last = progress.attempt + 1 >= ATTEMPTS_MAX;
            if !failure.retry || !repeat_safe || last {
                return Err(truthful(failure.refusal, &progress));
            }
            log::info!(
                target: "host",
                "request {} attempt {} at {name} failed: {}",
                request.id,
                progress.attempt,
                failure.refusal.message
            );
            progress.attempt += 1;
            progress.avoid = Some(failure.endpoint);
        }
    }

    async fn ask(
        &self,
        request: &front::Request,
        resolved: &class::Outcome,
        deadline: time::Duration,
        progress: &Progress,
    ) -> Result<permit::Permit, Refusal> {
        let class = self
            .state
            .class_number(&resolved.class)
            .ok_or_else(|| Refusal::new(Kind::Internal, "the class is not known"))?;
        let shard = self.state.shard(request.path.pool(), 0);
        let start = self.clock.now();
        let (id, verdict) = shard.ask(|id, _now| pool::Ask {
            id,
            class,
            team: resolved.team_key,
            caller: resolved.caller,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            prefix: request.prefix,
            fingerprint: request.fingerprint,
            deadline,
            attempt: progress.attempt,
            avoid: progress.avoid,
        });
        let mut withdraw = Withdraw {
            shard: shard.clone(),
            id: Some(id),
        };
        let verdict = verdict.await;
        withdraw.id = None;
        let grant = verdict
            .map_err(|_| Refusal::new(Kind::Internal, "the shard dropped the request"))??;
        let queued = self.clock.now().saturating_sub(start);
        Ok(permit::Permit::new(shard, id, grant, queued))
    }

    async fn attempt(
        &self,
        request: &front::Request,
        resolved: &class::Outcome,
        permit: permit::Permit,
        deadline: time::Duration,
        queued: time::Duration,
    ) -> Result<front::Answer, Failure> {
        let endpoint = permit.grant().endpoint;
        let built = match outbound::build(request, permit.grant(), resolved.tier) {
            Ok(built) => built,
            Err(cause) => {
                permit.finish(pool::Result::Unused);
                let refusal = Refusal::new(Kind::BadRequest, cause.to_string());
                return Err(failure(refusal, false, endpoint));
            }
        };
        let reuse = if resolved.idempotent {
            back::Reuse::Kept
        } else {
            back::Reuse::Fresh
        };
        let left = deadline.saturating_sub(self.clock.now());
        let work = self.exchange(request, resolved, permit, built, reuse, queued);
        match tokio::time::timeout(left, work).await {
            Ok(outcome) => outcome,
            Err(_) => {
                let refusal = Refusal::new(
                    Kind::EndpointTimeout,
                    "the deadline passed while the request ran",
                );
                Err(failure(refusal, false, endpoint))
            }
        }
    }

    async fn exchange(
        &self,
        request: &front::Request,
        resolved: &class::Outcome,
        permit: permit::Permit,
        built: http::Request<http_body_util::Full<bytes::Bytes>>,
        reuse: back::Reuse,
        queued: time::Duration,
    ) -> Result<front::Answer, Failure> {
        let endpoint = permit.grant().endpoint;
        let response = match self.client.send(built, reuse).await {
            Ok(response) => response,
            Err(back::Error::NotSent(cause)) => {
                permit.finish(pool::Result::Unreachable);
                let refusal = Refusal::new(Kind::EndpointConnect, cause);
                return Err(failure(refusal, true, endpoint));
            }
            Err(cause) => {
                permit.finish(pool::Result::Failed);
                let refusal = Refusal::new(Kind::EndpointFailed, cause.to_string());
                return Err(failure(refusal, true, endpoint));
            }
        };
        let (head, body) = response.into_parts();
        let permit = check_status(head.status, permit, endpoint)?;
        let mut answer = front::Answer {
            status: head.status,
            headers: passed(&head.headers),
            body: front::Body::empty(),
            class: resolved.class.to_string(),
            queued,
        };
        answer.body = if request.stream && head.status.is_success() {
            stream(request, permit, body, endpoint).await?
        } else {
            whole(permit, body, endpoint).await?
        };
        Ok(answer)
    }
}

async fn stream(
    request: &front::Request,
    permit: permit::Permit,
    mut body: back::Body,
    endpoint: pool::EndpointId,
) -> Result<front::Body, Failure> {
    // The first data is read before the caller gets an answer, so that an
    // endpoint that fails before any output costs the caller nothing.
    match relay::next(&mut body).await {
        Ok(Some(first)) => {
            permit.first();
            Ok(relay::events(permit, body, first, request.id.clone()))
        }
        Ok(None) => {
            permit.finish(pool::Result::Failed);
            let refusal = Refusal::new(Kind::EndpointInvalid, "the answer is empty");
            Err(failure(refusal, true, endpoint))
        }
        Err(relay::Cut(cause)) => {
            permit.finish(pool::Result::Failed);
            let refusal = Refusal::new(Kind::EndpointFailed, cause);
            Err(failure(refusal, true, endpoint))
        }
    }
}

async fn whole(
    mut permit: permit::Permit,
    body: back::Body,
    endpoint: pool::EndpointId,
) -> Result<front::Body, Failure> {
    match relay::whole(body, WHOLE_MAX).await {
        Ok(data) => {
            permit.first();
            permit.set_tokens(usage(&data));
            permit.finish(pool::Result::Complete);
            Ok(front::Body::from(data))
        }
        Err(relay::Cut(cause)) => {
            permit.finish(pool::Result::Failed);
            let refusal = Refusal::new(Kind::EndpointFailed, cause);
            Err(failure(refusal, true, endpoint))
        }
    }
}

/// Returns the permit if the status is one that the caller gets.
fn check_status(
    status: http::StatusCode,
    permit: permit::Permit,
    endpoint: pool::EndpointId,
) -> Result<permit::Permit, Failure> {
    match status {
        http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE => {
            permit.finish(pool::Result::Refused);
            let text = format!("the endpoint refused with {status}");
            let refusal = Refusal::new(Kind::EndpointConnect, text);
            Err(failure(refusal, true, endpoint))
        }
        status if status.is_server_error() => {
            permit.finish(pool::Result::Failed);
            let text = format!("the endpoint failed with {status}");
            let refusal = Refusal::new(Kind::EndpointFailed, text);
            Err(failure(refusal, true, endpoint))
        }
        _ => Ok(permit),
    }
}

/// Keeps a refusal's run state true when an earlier attempt may have run, or
/// when no attempt ran at all.
fn truthful(refusal: Refusal, progress: &Progress) -> Refusal {
    let kind = match (progress.may_have_run, refusal.run()) {
        (true, Run::NotRun) => Kind::EndpointFailed,
        (false, Run::Unknown) if refusal.kind == Kind::RetryBudget => Kind::EndpointConnect,
        _ => return refusal,
    };
    Refusal { kind, ..refusal }
}

fn failure(refusal: Refusal, retry: bool, endpoint: pool::EndpointId) -> Failure {
    Failure {
        refusal,
        retry,
        endpoint,
    }
}

fn passed(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = headers.clone();
    for name in NOT_PASSED {
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

/// Withdraws a queued ask when its request is dropped.
struct Withdraw {
    shard: sync::Arc<crate::shard::Shard>,
    id: Option<pool::AskId>,
}

impl Drop for Withdraw {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.shard.cancel(id);
        }
    }
}
