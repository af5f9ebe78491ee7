use core::time;
use std::sync;

use answer::{Kind, Refusal};
use base::mutex;

use crate::host;
use crate::incoming;
use crate::job;
use crate::request_log;
use crate::send;

/// Least time that is left for another attempt. A shorter one ends before an
/// endpoint can answer.
const ATTEMPT_MIN: time::Duration = time::Duration::from_millis(10);

/// After what time a caller is told to come back when no endpoint takes work.
const NO_ENDPOINT_PAUSE: time::Duration = time::Duration::from_millis(400);

/// One request on its way through attempts.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) host: sync::Arc<host::Host>,
    pub(crate) job: job::Job,
    /// Endpoints that are not asked again.
    pub(crate) tried: Vec<steer::Key>,
    /// Endpoints that may have run the request.
    pub(crate) runs: u32,
    /// Requests that reached an endpoint.
    pub(crate) arrivals: u32,
    /// Why the last attempt failed.
    pub(crate) failure: Option<String>,
    /// How the request ended; without, its caller left.
    outcome: Option<&'static str>,
}

impl Drop for Flow {
    fn drop(&mut self) {
        request_log::write(&self.host, &mut self.job, self.outcome);
    }
}

impl Flow {
    /// Returns a request before its first attempt.
    pub(crate) fn new(host: sync::Arc<host::Host>, job: job::Job) -> Self {
        Self {
            host,
            job,
            tried: Vec::new(),
            runs: 0,
            arrivals: 0,
            failure: None,
            outcome: None,
        }
    }

    /// Notes the first event, or the head of a plain answer.
    pub(crate) fn begun(&self) {
        let took = self.host.clock.now().saturating_sub(self.job.arrived);
        let tags = [("service", self.job.service.as_str())];
        self.host.metrics.time("first_event_ms", &tags, took);
    }

    /// Notes how the request ended.
    pub(crate) const fn conclude(&mut self, outcome: &'static str) {
        self.outcome = Some(outcome);
    }

    /// Notes that an answer is ended before it is whole.
    pub(crate) fn cut(&mut self, refusal: &Refusal) {
        let now = self.host.clock.now();
        self.job
            .note(now, "cut", format_args!("{}", refusal.message));
        self.conclude(refusal.kind.entry().name);
    }

    /// Attempts the request until the head of an answer is there that is to be
    /// passed on. `after` is the last event that the caller has.
    ///
    /// # Errors
    ///
    /// Returns the final answer if the request is given up.
    pub(crate) async fn next_answer(
        &mut self,
        after: Option<u64>,
    ) -> Result<incoming::Answer, Refusal> {
        loop {
            let now = self.host.clock.now();
            let left = self.job.left(now);
            if left < ATTEMPT_MIN {
                return Err(self.late());
            }
            if let Some(refusal) = self.quarantine(now) {
                return Err(refusal);
            }
            let pick = self.pick(now, left)?;
            if self.arrivals > 0 && !self.may_send_again(now) {
                return Err(self.failed("the repeat budget is used up"));
            }
            match self.attempt(&pick, after).await {
                send::Sent::Answer(answer) => return Ok(*answer),
                send::Sent::Again => {}
                send::Sent::Final(refusal) => return Err(refusal),
            }
        }
    }

    /// Returns whether a failed run may be followed by another one.
    pub(crate) fn may_run_again(&self) -> bool {
        self.runs == 0
            || (self.job.route.kind.is_retryable() && self.runs < self.job.route.attempts_max)
    }

    /// Returns the final answer after a failed attempt.
    pub(crate) fn failed(&self, text: &str) -> Refusal {
        let cause = self.failure.as_deref().unwrap_or("no attempt was made");
        let text = format!("{text}; last failure: {cause}");
        if self.runs > 0 {
            return Refusal::new(Kind::EndpointFailed, text);
        }
        Refusal::new(Kind::NoEndpoint, text).after(NO_ENDPOINT_PAUSE)
    }

    /// Returns the final answer to a request whose time is over.
    pub(crate) fn late(&self) -> Refusal {
        if self.runs > 0 {
            return Refusal::new(Kind::EndpointTimeout, "the endpoint did not answer in time");
        }
        Refusal::new(
            Kind::Expired,
            "the time was over before an endpoint took the request",
        )
    }

    fn quarantine(&mut self, now: time::Duration) -> Option<Refusal> {
        let blame = mutex::lock(&self.host.quarantine);
        if blame.verdict(now, self.job.fingerprint) != route::Verdict::Poison {
            return None;
        }
        drop(blame);
        self.job.note(
            now,
            "quarantined",
            format_args!("the request crashed endpoints"),
        );
        let text = "the request crashed the endpoints that ran it";
        Some(match self.runs {
            0 => Refusal::new(Kind::Quarantined, text).after(time::Duration::from_secs(10)),
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
        let outcome = mutex::lock(&self.host.fleet).pick(
            now,
            &job.service,
            &job.work,
            need,
            &self.tried,
            &mut *mutex::lock(&self.host.rng),
        );
        match outcome {
            steer::Decision::Selected(pick) => {
                let rank = pick.rank.map_or(-1, |rank| rank as i64);
                let age = pick.report_age.map_or(-1, |age| age.as_millis() as i64);
                self.job.note(
                    now,
                    "picked",
                    format_args!(
                        "endpoint={} near={} rank={rank} cached={} share={:.2} meant={} wait_ms={:.0} unread={} report_age_ms={age}",
                        pick.id, pick.is_local, pick.is_cached, pick.interactive_share, pick.is_reserved, pick.wait_ms, pick.prefill_tokens
                    ),
                );
                Ok(pick)
            }
            steer::Decision::Refused(busy) => {
                self.job.note(
                    now,
                    "busy",
                    format_args!(
                        "wait_ms={:.0} backlog_ms={:.0} has_room={} tried={}",
                        busy.wait_ms,
                        busy.backlog_ms,
                        busy.has_room,
                        self.tried.len()
                    ),
                );
                if self.runs > 0 {
                    return Err(self.failed("the other endpoints are too busy"));
                }
                let text = "every endpoint is too busy";
                Err(Refusal::new(Kind::Overload, text).after(busy.retry_after))
            }
            steer::Decision::NoEndpoint => Err(self.failed("no other endpoint takes work")),
        }
    }

    fn may_send_again(&mut self, now: time::Duration) -> bool {
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
