use core::time;
use std::sync;

use answer::{Kind, Refusal};
use base::mutex;
use tokio::time::Instant;

use crate::attempt;
use crate::crash;
use crate::guard;
use crate::host;
use crate::incoming;
use crate::job;
use crate::request_log;
use crate::resume;
use crate::send;

/// Least remaining time for which another attempt is made. A shorter attempt
/// would end before an endpoint can answer.
const ATTEMPT_MIN: time::Duration = time::Duration::from_millis(10);

/// Retry delay sent to callers when no endpoint accepts work.
const NO_ENDPOINT_RETRY_AFTER: time::Duration = time::Duration::from_millis(400);

/// Change of the open attempts of a request.
enum Turn {
    Ended(Box<attempt::Ended>),
    /// No endpoint has answered for the time after which another one is tried.
    Silent,
    /// The deadline has passed.
    Late,
}

/// One request and the state of its attempts.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) host: sync::Arc<host::Host>,
    pub(crate) job: job::Job,
    /// Attempts whose answer has not begun. A silent endpoint may go on, so its
    /// attempt stays open until another answer is certain.
    pub(crate) open: Vec<attempt::Attempt>,
    /// Number of attempts that were begun.
    pub(crate) attempts: u32,
    /// When another endpoint is tried as well, unless one has answered.
    silent_at: Option<Instant>,
    /// Whether an endpoint was silent on a connection.
    pub(crate) needs_fresh_connection: bool,
    /// Whether it was logged that no other endpoint takes the request.
    is_kept: bool,
    /// Failure of an endpoint that is passed on if nothing better follows.
    pub(crate) fallback: Option<Box<incoming::Answer>>,
    /// Endpoints at which the stream may go on.
    pub(crate) continuation: resume::Continuation,
    /// Endpoints that were attempted; they are not picked again.
    pub(crate) tried: Vec<steer::Key>,
    /// Number of endpoints that may have run the request.
    pub(crate) possible_runs: u32,
    /// Number of endpoints that had no place for the request.
    pub(crate) declined: u32,
    /// Number of times the request was sent to an endpoint.
    pub(crate) sends: u32,
    /// Why the last attempt failed.
    pub(crate) failure: Option<String>,
    /// How the request ended; absent if the caller disconnected first.
    outcome: Option<&'static str>,
}

impl Drop for Flow {
    fn drop(&mut self) {
        request_log::write(&self.host, &mut self.job, self.outcome);
    }
}

impl Flow {
    /// Creates the state of a request before its first attempt.
    pub(crate) fn new(host: sync::Arc<host::Host>, job: job::Job) -> Self {
        Self {
            host,
            job,
            open: Vec::new(),
            attempts: 0,
            silent_at: None,
            needs_fresh_connection: false,
            is_kept: false,
            fallback: None,
            continuation: resume::Continuation::Any,
            tried: Vec::new(),
            possible_runs: 0,
            declined: 0,
            sends: 0,
            failure: None,
            outcome: None,
        }
    }

    /// Records the latency of the first event, or of the head of a plain
    /// answer.
    pub(crate) fn record_first_event(&self) {
        let took = self.host.clock.now().saturating_sub(self.job.arrived);
        let tags = [("service", self.job.service.as_str())];
        self.host.metrics.time("first_event_ms", &tags, took);
    }

    /// Counts an answer that was given up because it exceeds a bound.
    pub(crate) fn count_oversized(&self) {
        let tags = [("service", self.job.service.as_str())];
        self.host.metrics.count("answers_oversized", &tags);
    }

    /// Counts a stream whose body has ended within an event.
    pub(crate) fn count_partial(&self, answer: &incoming::Answer) {
        let framed = bool_name(answer.is_framed);
        let tags = [("service", self.job.service.as_str()), ("framed", framed)];
        self.host.metrics.count("streams_partial", &tags);
    }

    /// Sets the outcome under which the request is logged and counted.
    pub(crate) const fn conclude(&mut self, outcome: &'static str) {
        self.outcome = Some(outcome);
    }

    /// Records that an answer was truncated after its head had been sent, and
    /// whether the configuration has changed since the request arrived.
    pub(crate) fn mark_truncated(&mut self, refusal: &Refusal) {
        let now = self.host.clock.now();
        let name = refusal.kind.entry().name;
        let current = self.host.plan_version();
        self.job.log_step(
            now,
            "cut",
            format_args!("{} plan={current}", refusal.message),
        );
        let has_changed = bool_name(current != self.job.plan);
        let tags = [("cause", name), ("plan_changed", has_changed)];
        self.host.metrics.count("answers_cut", &tags);
        self.conclude(name);
    }

    /// Returns the next answer whose head arrives from an open attempt. Begins an
    /// attempt if none is open, and further ones if endpoints are silent or fail.
    /// `after` is the id of the last event that the caller has received.
    ///
    /// The other attempts stay open until [`Flow::commit`]. Cancelling loses
    /// nothing.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no attempt is open and no further one
    /// is possible.
    pub(crate) async fn next_answer(
        &mut self,
        after: Option<u64>,
    ) -> Result<incoming::Answer, Refusal> {
        if self.open.is_empty()
            && let Err(refusal) = self.ask(after)
        {
            return self.end_without_answer(refusal);
        }
        loop {
            let (can_ask, refusal) = match self.turn().await {
                Turn::Ended(ended) => match self.judge(*ended) {
                    send::Outcome::Answer(answer) => return Ok(*answer),
                    send::Outcome::Retry => (true, None),
                    send::Outcome::Final(refusal) => (false, Some(refusal)),
                },
                Turn::Silent => {
                    self.mark_silent();
                    self.silent_at = self.next_silence();
                    (self.can_retry(self.host.clock.now()), None)
                }
                Turn::Late => {
                    self.mark_silent();
                    for late in self.open.drain(..) {
                        late.guard.end(steer::End::Lost);
                    }
                    let refusal = self.timed_out();
                    return self.end_without_answer(refusal);
                }
            };
            let refusal = match can_ask {
                true => self.ask(after).err(),
                false => refusal,
            };
            let Some(refusal) = refusal else { continue };
            if self.open.is_empty() {
                return self.end_without_answer(refusal);
            }
            self.log_kept(self.open.len(), &refusal);
            self.silent_at = self.next_silence();
        }
    }

    /// Begins another attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no endpoint may be tried.
    pub(crate) fn ask(&mut self, after: Option<u64>) -> Result<(), Refusal> {
        let now = self.host.clock.now();
        let left = self.job.left(now);
        if left < ATTEMPT_MIN {
            return Err(self.timed_out());
        }
        if let Some(refusal) = self.refuse_quarantined(now) {
            return Err(refusal);
        }
        let pick = self.pick(now, left)?;
        if self.sends > 0 && !self.spend_retry(now) {
            return Err(self.failed("the retry budget is exhausted"));
        }
        self.send(pick, after);
        self.silent_at = self.next_silence();
        Ok(())
    }

    /// Ends the open attempts, because the answer of the attempt with this number
    /// is passed on. Earlier attempts were silent for longer.
    pub(crate) fn commit(&mut self, number: u32) {
        for attempt in self.open.drain(..) {
            if attempt.number < number {
                attempt.guard.end(steer::End::Lost);
            }
        }
    }

    /// Waits for the next change of the open attempts.
    async fn turn(&mut self) -> Turn {
        let due = Instant::now() + self.job.left(self.host.clock.now());
        let wake = self.silent_at.map_or(due, |at| at.min(due));
        tokio::select! {
            biased;
            ended = attempt::next_ended(&mut self.open) => Turn::Ended(Box::new(ended)),
            () = tokio::time::sleep_until(wake) => {
                if wake < due { Turn::Silent } else { Turn::Late }
            }
        }
    }

    fn next_silence(&self) -> Option<Instant> {
        let timeout = self.attempt_timeout()?;
        Some(Instant::now() + timeout)
    }

    /// Returns the failure of an endpoint that may be passed on, or the refusal.
    fn end_without_answer(&mut self, refusal: Refusal) -> Result<incoming::Answer, Refusal> {
        self.fallback.take().map(|answer| *answer).ok_or(refusal)
    }

    /// Records that `open` silent attempts go on, because no other endpoint takes
    /// the request. Only the first time is logged.
    pub(crate) fn log_kept(&mut self, open: usize, refusal: &Refusal) {
        if core::mem::replace(&mut self.is_kept, true) {
            return;
        }
        let now = self.host.clock.now();
        let inputs = format_args!("open={open} {}", refusal.message);
        self.job.log_step(now, "kept", inputs);
    }

    /// Returns whether the route allows another attempt after a failed one.
    /// A request that no endpoint can have run may always be attempted again.
    pub(crate) fn may_retry(&self) -> bool {
        self.possible_runs == 0
            || (self.job.route.kind.is_retryable()
                && self.continuation != resume::Continuation::Nowhere
                && self.possible_runs < self.job.route.attempts_max)
    }

    /// Returns the refusal for a request whose last attempt failed.
    pub(crate) fn failed(&self, text: &str) -> Refusal {
        let cause = self.failure.as_deref().unwrap_or("no attempt was made");
        let text = format!("{text}; last failure: {cause}");
        if self.possible_runs > 0 {
            return Refusal::new(Kind::EndpointFailed, text);
        }
        Refusal::new(Kind::NoEndpoint, text).with_retry_after(NO_ENDPOINT_RETRY_AFTER)
    }

    /// Returns the refusal for a request whose deadline has passed.
    pub(crate) fn timed_out(&self) -> Refusal {
        if self.possible_runs > 0 {
            return Refusal::new(Kind::EndpointTimeout, "the endpoint did not answer in time");
        }
        Refusal::new(
            Kind::Expired,
            "the deadline passed before an endpoint accepted the request",
        )
    }

    /// Checks whether the endpoint has crashed with this request in flight.
    pub(crate) fn check_for_crash(
        &self,
        pick: &steer::Pick,
        guard: &guard::Guard,
        sign: crash::Sign,
    ) {
        let flight = crash::Flight::new(&self.job, guard);
        self.host.check_for_crash(pick, flight, sign);
    }

    /// Clears the request of suspicion after a complete answer. An answer without
    /// framing may have been cut by a crash.
    pub(crate) fn record_completion(&self, answer: &incoming::Answer) {
        if answer.status.is_success() && answer.is_framed {
            mutex::lock(&self.host.quarantine).clear(self.job.fingerprint);
            self.host.record_complete_parts(&self.job.work);
        }
    }

    fn refuse_quarantined(&mut self, now: time::Duration) -> Option<Refusal> {
        let verdict = mutex::lock(&self.host.quarantine).verdict(now, self.job.fingerprint);
        let part = self.host.poison_part(&self.job.work);
        let text = match part {
            Some(part) => {
                let inputs = format_args!("endpoints crashed on the prompt part {part:x}");
                self.job.log_step(now, "quarantined", inputs);
                "a part of the prompt crashed the endpoints that began to answer on it"
            }
            None if verdict == route::Verdict::Poison => {
                let inputs = format_args!("the request crashed endpoints");
                self.job.log_step(now, "quarantined", inputs);
                "the request crashed the endpoints that ran it"
            }
            None => return None,
        };
        Some(match self.possible_runs {
            0 => Refusal::new(Kind::Quarantined, text)
                .with_retry_after(time::Duration::from_secs(10)),
            _ => Refusal::new(Kind::EndpointFailed, text),
        })
    }

    fn pick(&mut self, now: time::Duration, left: time::Duration) -> Result<steer::Pick, Refusal> {
        let need = steer::Objective {
            urgency: self.job.rank.urgency(),
            remaining: left,
            target_first: self.job.route.target_first,
        };
        let job = &self.job;
        let scope = steer::Scope {
            tried: &self.tried,
            team: job.team.as_deref().map(steer::Scope::team),
            build: self.continuation.build(),
        };
        let outcome = mutex::lock(&self.host.balancer).pick(
            now,
            &job.service,
            &job.work,
            need,
            scope,
            &mut *mutex::lock(&self.host.rng),
        );
        match outcome {
            steer::Decision::Selected(pick) => {
                let rank = pick.rank.map_or(-1, |rank| rank as i64);
                let age = pick.report_age.map_or(-1, |age| age.as_millis() as i64);
                self.job.log_step(
                    now,
                    "picked",
                    format_args!(
                        "endpoint={} build={} near={} rank={rank} cached={} share={:.2} meant={} wait_ms={:.0} unread={} report_age_ms={age}",
                        pick.id, pick.build.as_deref().unwrap_or("-"), pick.is_local, pick.is_cached, pick.interactive_share, pick.is_reserved, pick.wait_ms, pick.prefill_tokens
                    ),
                );
                Ok(pick)
            }
            steer::Decision::Refused(busy) => {
                if busy.compared == 0 {
                    self.host.count_shut(now, &self.job.service);
                }
                self.job.log_step(
                    now,
                    "busy",
                    format_args!(
                        "wait_ms={:.0} backlog_ms={:.0} has_room={} compared={} down={} tried={}",
                        busy.wait_ms,
                        busy.backlog_ms,
                        busy.has_room,
                        busy.compared,
                        busy.down,
                        self.tried.len()
                    ),
                );
                if self.possible_runs > 0 {
                    return Err(self.failed("the other endpoints are too busy"));
                }
                let text = "every endpoint is too busy";
                Err(Refusal::new(Kind::Overload, text).with_retry_after(busy.retry_after))
            }
            steer::Decision::NoEndpoint => Err(self.failed("no other endpoint accepts work")),
        }
    }

    fn spend_retry(&mut self, now: time::Duration) -> bool {
        let allowed = self.host.spend_retry(now, &self.job.service);
        self.host
            .metrics
            .count("repeats", &[("allowed", bool_name(allowed))]);
        allowed
    }
}

const fn bool_name(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
