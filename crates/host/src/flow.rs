use core::time;
use std::sync;

use answer::{Kind, Refusal, RunState};
use tokio::sync::mpsc;

use crate::attempt;
use crate::broker;
use crate::crash;
use crate::outbound;
use crate::permit;
use crate::reading;
use crate::relay;
use crate::terms;
use crate::watch;
use base::clock;
use base::mutex;

/// Maximum number of attempts per request, the first one included. The retry
/// budget limits the retries of a class; this limits those of one request, for
/// example when every endpoint answers at once with an invalid response.
pub(crate) const ATTEMPTS_MAX: u16 = 4;

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
    /// Time without data within an answer after which its endpoint is silent.
    pub(crate) stall_timeout: time::Duration,
}

/// A request and the conditions under which it is served.
struct Call<'a> {
    request: &'a front::Request,
    terms: &'a terms::Terms,
    delivery: Delivery,
    gate: Gate<'a>,
    /// Measured from the start of the process.
    deadline: time::Duration,
    /// Time spent queued, summed over all attempts.
    queued: sync::Mutex<time::Duration>,
    signs: watch::Signs,
}

/// State of a request across its attempts.
struct Progress {
    /// Number of attempts that were begun.
    begun: u16,
    /// Number of earlier attempts, without those whose ask was refused.
    attempt: u16,
    /// Endpoint of the last failed or silent attempt.
    avoid: Option<String>,
    may_have_run: bool,
    /// Refusal with which the last attempt at an endpoint ended.
    last_refusal: Option<Refusal>,
}

/// One dispatch of a request to an endpoint.
struct Dispatch<'a> {
    call: &'a Call<'a>,
    /// Identifies the attempt within its flow.
    number: u16,
    /// Number of earlier attempts.
    attempt: u16,
    avoid: Option<String>,
    /// Endpoints of silent attempts, which may go on.
    silent: Vec<String>,
}

/// Change of the open attempts.
enum Turn<'a> {
    Sign(u16, watch::Sign),
    Ended(attempt::Attempt<'a>, Box<attempt::Ended>),
}

impl Flow {
    /// Serves one request and retries it as long as that is safe.
    ///
    /// A retry is safe if the request is idempotent or no attempt may have run. A
    /// silent attempt stays open while another endpoint is tried; the one that
    /// delivers data first goes on, and the others are cancelled.
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
        let (signs, mut received) = mpsc::unbounded_channel();
        let call = Call {
            request,
            terms,
            delivery,
            gate,
            deadline: self.clock.now() + terms.deadline,
            queued: sync::Mutex::default(),
            signs,
        };
        let mut progress = Progress {
            begun: 0,
            attempt: 0,
            avoid: None,
            may_have_run: false,
            last_refusal: None,
        };
        let mut open = Vec::new();
        let mut crashes = crash::Crashes::new(&self.broker, request);
        self.begin(&call, &mut progress, &mut open);
        loop {
            let turn = tokio::select! {
                biased;
                Some((number, sign)) = received.recv() => Turn::Sign(number, sign),
                (attempt, ended) = attempt::next_ended(&mut open) => Turn::Ended(attempt, ended),
            };
            match turn {
                Turn::Sign(number, watch::Sign::Delivering) => {
                    self.keep_only(&call, &mut open, number);
                }
                Turn::Sign(number, watch::Sign::Silent(endpoint)) => {
                    if note_silence(&mut open, number, &endpoint)
                        && progress.may_begin(&open, number, terms.is_idempotent)
                    {
                        terms.trace.record_silence(&endpoint);
                        progress.attempt += 1;
                        progress.avoid = Some(endpoint);
                        self.begin(&call, &mut progress, &mut open);
                    }
                }
                Turn::Ended(attempt, ended) => match ended.outcome {
                    Ok(answer) => {
                        self.cancel(&call, open);
                        crashes.clear();
                        return Ok(answer);
                    }
                    Err(failure) => {
                        let Some(endpoint) = ended.endpoint else {
                            progress.note_refused_ask(&call, &open, failure.refusal)?;
                            continue;
                        };
                        let is_silent = attempt.silent.is_some();
                        if is_silent || failure.is_broken {
                            self.broker.report_crash(request, &endpoint);
                        }
                        if failure.is_broken {
                            crashes.add(&endpoint);
                        }
                        let is_newest = attempt.number == progress.begun || open.is_empty();
                        if progress.note_failure(&call, &open, &endpoint, failure, is_newest)? {
                            self.begin(&call, &mut progress, &mut open);
                        }
                    }
                },
            }
        }
    }

    /// Begins another attempt.
    fn begin<'a>(
        &'a self,
        call: &'a Call<'a>,
        progress: &mut Progress,
        open: &mut Vec<attempt::Attempt<'a>>,
    ) {
        progress.begun += 1;
        let dispatch = Dispatch {
            call,
            number: progress.begun,
            attempt: progress.attempt,
            avoid: progress.avoid.clone(),
            silent: open
                .iter()
                .filter_map(|attempt| attempt.silent.clone())
                .collect(),
        };
        open.push(attempt::Attempt::new(progress.begun, self.run(dispatch)));
    }

    /// Cancels all attempts but this one if it is open.
    fn keep_only(&self, call: &Call<'_>, open: &mut Vec<attempt::Attempt<'_>>, number: u16) {
        let Some(index) = open.iter().position(|attempt| attempt.number == number) else {
            return;
        };
        let mut kept = open.swap_remove(index);
        kept.silent = None;
        self.cancel(call, core::mem::replace(open, vec![kept]));
    }

    /// Cancels attempts and reports the endpoints that are silent.
    fn cancel(&self, call: &Call<'_>, attempts: Vec<attempt::Attempt<'_>>) {
        for endpoint in attempts
            .iter()
            .filter_map(|attempt| attempt.silent.as_ref())
        {
            self.broker.report_crash(call.request, endpoint);
        }
    }

    /// Asks for a slot and dispatches the request.
    async fn run(&self, dispatch: Dispatch<'_>) -> attempt::Ended {
        match self.acquire_for(&dispatch).await {
            Ok(permit) => attempt::Ended {
                endpoint: Some(permit.grant().name.clone()),
                outcome: self.attempt(dispatch, permit).await,
            },
            Err(refusal) => attempt::Ended {
                endpoint: None,
                outcome: Err(reading::Failure::new(refusal, false)),
            },
        }
    }

    async fn acquire_for(&self, dispatch: &Dispatch<'_>) -> Result<permit::Permit, Refusal> {
        let call = dispatch.call;
        let ask = broker::Ask {
            request: call.request,
            terms: call.terms,
            deadline: call.deadline,
            attempt: dispatch.attempt,
            avoid: dispatch.avoid.as_deref(),
        };
        let mut queued = time::Duration::ZERO;
        let acquired = self.acquire(&ask, &dispatch.silent, &mut queued).await;
        *mutex::lock(&call.queued) += queued;
        let permit = acquired?;
        if let Err(refusal) = (call.gate)() {
            permit.finish(pool::Outcome::Unused);
            return Err(refusal);
        }
        Ok(permit)
    }

    /// Waits for a grant that can be used, at none of the silent endpoints, and adds
    /// the time in the queue to `queued`.
    ///
    /// The grant is recorded in the trace, unless a silent run may still go on in
    /// place of this one.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the home of the shard, or `NoEndpoint` if it grants a
    /// slot at an endpoint that is silent already.
    pub(crate) async fn acquire(
        &self,
        ask: &broker::Ask<'_>,
        silent: &[String],
        queued: &mut time::Duration,
    ) -> Result<permit::Permit, Refusal> {
        loop {
            let mut permit = self.broker.ask(ask).await?;
            if silent.is_empty() {
                permit.trace(&ask.terms.trace);
            }
            *queued += permit.queued();
            if silent.contains(&permit.grant().name) {
                permit.finish(pool::Outcome::Unused);
                let text = "no other endpoint takes the request";
                return Err(Refusal::new(Kind::NoEndpoint, text));
            }
            if permit.grant().dispatch_by >= self.clock.now() {
                return Ok(permit);
            }
            permit.finish(pool::Outcome::Unused);
        }
    }

    fn resume_context(&self, dispatch: &Dispatch<'_>) -> relay::Resume {
        let call = dispatch.call;
        let active = self.broker.state.active();
        let pool = active.settings.pools.get(call.request.target.pool());
        relay::Resume {
            flow: self.clone(),
            request: call.request.clone(),
            terms: call.terms.clone(),
            deadline: call.deadline,
            other_builds: sync::Mutex::default(),
            is_allowed: call.terms.is_idempotent && pool.is_some_and(|pool| pool.resume),
        }
    }

    async fn attempt(
        &self,
        dispatch: Dispatch<'_>,
        permit: permit::Permit,
    ) -> Result<front::Response, reading::Failure> {
        let left = dispatch.call.deadline.saturating_sub(self.clock.now());
        match tokio::time::timeout(left, self.exchange(dispatch, permit)).await {
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
        dispatch: Dispatch<'_>,
        permit: permit::Permit,
    ) -> Result<front::Response, reading::Failure> {
        let call = dispatch.call;
        let (request, terms) = (call.request, call.terms);
        let built = match outbound::build(request, permit.grant(), terms.tier) {
            Ok(built) => built,
            Err(cause) => {
                permit.finish(pool::Outcome::Unused);
                let refusal = Refusal::new(Kind::BadRequest, cause.to_string());
                return Err(reading::Failure::new(refusal, false));
            }
        };
        let (permit, head, body) = self.send(permit, built, terms.is_idempotent).await?;
        if !dispatch.silent.is_empty() && !head.status.is_success() {
            // An error does not displace an answer that may go on.
            permit.finish(pool::Outcome::Complete);
            let text = format!("the endpoint answered with {}", head.status);
            let refusal = Refusal::new(Kind::EndpointInvalid, text);
            return Err(reading::Failure::new(refusal, true));
        }
        let is_stream = request.is_stream && head.status.is_success();
        let mut watch = watch::Watch::new(self.stall_timeout, terms.trace.clone())
            .with_signs(dispatch.number, call.signs.clone());
        let body = match call.delivery {
            Delivery::Streamed if is_stream => {
                let source = reading::begin_stream(permit, &head, body, &mut watch).await?;
                let resume = self.resume_context(&dispatch);
                relay::events(source, resume, dispatch.attempt)
            }
            _ => reading::read_whole(permit, &head, body, is_stream, &mut watch).await?,
        };
        Ok(front::Response {
            status: head.status,
            headers: reading::caller_headers(&head.headers),
            body,
            class: terms.class.to_string(),
            queue_time: *mutex::lock(&call.queued),
        })
    }
}

impl Progress {
    /// Returns whether another attempt may begin because this one is silent. An earlier
    /// attempt counts only if the last one has ended.
    fn may_begin(&self, open: &[attempt::Attempt<'_>], number: u16, is_idempotent: bool) -> bool {
        let has_newer =
            number != self.begun && open.iter().any(|attempt| attempt.number == self.begun);
        is_idempotent && !has_newer && self.attempt + 1 < ATTEMPTS_MAX
    }

    /// Records that an ask was refused.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no attempt is open.
    fn note_refused_ask(
        &mut self,
        call: &Call<'_>,
        open: &[attempt::Attempt<'_>],
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if open.is_empty() {
            return Err(with_run_state(refusal, self));
        }
        self.attempt = self.attempt.saturating_sub(1);
        call.terms.trace.record_kept(&refusal);
        Ok(())
    }

    /// Records that an attempt failed at an endpoint, and returns whether another one
    /// may begin.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no attempt is open and none may begin.
    fn note_failure(
        &mut self,
        call: &Call<'_>,
        open: &[attempt::Attempt<'_>],
        endpoint: &str,
        failure: reading::Failure,
        is_newest: bool,
    ) -> Result<bool, Refusal> {
        self.may_have_run |= failure.refusal.run_state() != RunState::NotRun;
        let is_safe = call.terms.is_idempotent || !self.may_have_run;
        let is_last = self.attempt + 1 >= ATTEMPTS_MAX;
        let may_begin = failure.is_retryable && is_safe && !is_last && is_newest;
        if !may_begin && open.is_empty() {
            return Err(with_run_state(failure.refusal, self));
        }
        let trace = &call.terms.trace;
        if may_begin {
            trace.record_retry(&call.request.id, endpoint, &failure.refusal);
            self.attempt += 1;
            self.avoid = Some(endpoint.to_owned());
        } else {
            trace.record_kept(&failure.refusal);
        }
        self.last_refusal = Some(failure.refusal);
        Ok(may_begin)
    }
}

/// Marks an attempt as silent; returns whether it is open.
fn note_silence(open: &mut [attempt::Attempt<'_>], number: u16, endpoint: &str) -> bool {
    let attempt = open.iter_mut().find(|attempt| attempt.number == number);
    attempt.is_some_and(|attempt| {
        attempt.silent = Some(endpoint.to_owned());
        true
    })
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
    pub(crate) async fn send(
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
                permit.finish(pool::Outcome::Broken);
                return Err(reading::Failure::broken(cause.to_string()));
            }
        };
        let (head, body) = response.into_parts();
        let is_fenced = self.is_fenced(&head, &permit);
        let is_reused = head.extensions.get::<back::Reused>().is_some();
        let kind = match is_idempotent && !is_reused {
            true => Kind::EndpointConnect,
            false => Kind::EndpointFailed,
        };
        let permit = reading::check_status(&head, is_fenced, kind, permit)?;
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
