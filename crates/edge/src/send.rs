use core::ops;
use core::time;

use answer::{Kind, Refusal};
use base::mutex;
use http::header;
use rand::RngExt;

use crate::answered;
use crate::attempt;
use crate::connection;
use crate::crash;
use crate::flow;
use crate::forward;
use crate::guard;
use crate::headers;
use crate::incoming;
use crate::request_log;
use crate::stated;
use crate::step;

/// Time-out of an attempt at plain work, as a share of the route's target for
/// the first event, if another endpoint can be tried.
const PLAIN_TIMEOUT_SHARE: f64 = 0.9;

/// Time-out for the head of a stream, as a multiple of the route's target for
/// the first event, if another endpoint can be tried.
const STREAM_TIMEOUT_FACTOR: f64 = 3.0;

/// Shortest time-out of an attempt if another endpoint can be tried.
const ATTEMPT_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(150);

/// Endpoints without a place for a request after which it is refused.
const DECLINED_MAX: u32 = 4;

/// Range of the retry delay sent to callers then, in milliseconds, so that they do not
/// come back together.
const DECLINED_RETRY_MS: ops::Range<u64> = 200..500;

/// Outcome of one attempt.
pub(crate) enum Outcome {
    /// The endpoint sent the head of an answer that is to be passed on.
    Answer(Box<incoming::Answer>),
    /// The attempt failed and another endpoint may be tried.
    Retry,
    /// The attempt failed and no other endpoint may be tried. This is the refusal
    /// unless another attempt is still open.
    Final(Refusal),
}

impl flow::Flow {
    /// Begins to send the request to the picked endpoint. `after` is the id of the
    /// last event that the caller has received.
    pub(crate) fn send(&mut self, pick: steer::Pick, after: Option<u64>) {
        let guard = guard::Guard::start(&self.host, &pick, &self.job.work);
        self.tried.push(pick.key);
        self.sends += 1;
        self.possible_runs += 1;
        self.attempts += 1;
        request_log::start(&self.host, &mut self.job);
        // The endpoint may close a reused connection while the request is in
        // flight, which leaves the outcome of non-retryable work unknown. One that
        // was silent may be dead.
        let may_reuse = self.job.route.kind.is_retryable() && !self.needs_fresh_connection;
        let idle = may_reuse.then(|| self.host.connections.take(pick.address));
        let dispatch = attempt::Dispatch {
            host: self.host.clone(),
            due: self.job.due,
            request: self.request(&pick, after),
            work: self.job.work.clone(),
            fingerprint: self.job.fingerprint,
            connection: idle.flatten(),
            pick,
            forwarding: Some(forward::Forwarding {
                service: self.job.service.clone(),
                fingerprint: self.job.fingerprint,
                may_reuse,
            }),
            role: steer::Role::Alone,
        };
        let attempt = attempt::Attempt::start(self.attempts, guard, dispatch);
        self.open.push(attempt);
    }

    /// Decides on an attempt that has ended.
    pub(crate) fn judge(&mut self, ended: attempt::Ended) -> Outcome {
        let cause = match ended.head {
            Ok((response, connection)) => {
                return self.handle_answer(
                    response,
                    incoming::Run {
                        number: ended.number,
                        connection,
                        guard: ended.guard,
                        pick: ended.pick,
                    },
                );
            }
            Err(cause) => cause,
        };
        let now = self.host.clock.now();
        let id = ended.pick.id.as_str();
        let (step, cause) = match cause {
            attempt::Failure::Broken(cause) => {
                self.check_for_crash(&ended.pick, &ended.guard, crash::Sign::Broken);
                let end = steer::End::Lost;
                return self.outcome_unknown(&ended.pick, ended.guard, end, cause);
            }
            attempt::Failure::Oversized(cause) => {
                self.count_oversized();
                let end = steer::End::Failed;
                return self.outcome_unknown(&ended.pick, ended.guard, end, cause);
            }
            attempt::Failure::Unreachable(cause) => {
                ended.guard.end(steer::End::Unreachable);
                ("unreachable", cause)
            }
            attempt::Failure::Shut(cause) => ("skipped", cause),
            attempt::Failure::Declined(cause) => {
                ended.guard.end(steer::End::Declined);
                self.declined += 1;
                ("declined", cause)
            }
            attempt::Failure::Expired => ("skipped", "the deadline has passed".to_owned()),
            attempt::Failure::Quarantined => ("skipped", "the request is quarantined".to_owned()),
        };
        self.sends -= 1;
        self.possible_runs -= 1;
        let inputs = format_args!("endpoint={id} cause={cause}");
        self.job.log_step(now, step, inputs);
        self.failure = Some(cause);
        if self.declined >= DECLINED_MAX && self.possible_runs == 0 {
            let refusal = Refusal::new(Kind::Overload, "every endpoint is too busy");
            let retry_ms = mutex::lock(&self.host.rng).random_range(DECLINED_RETRY_MS);
            let retry_after = time::Duration::from_millis(retry_ms);
            return Outcome::Final(refusal.with_retry_after(retry_after));
        }
        Outcome::Retry
    }

    /// Records that the endpoints of the open attempts are silent. The attempts stay
    /// open.
    pub(crate) fn mark_silent(&mut self) {
        let now = self.host.clock.now();
        for attempt in self.open.iter_mut().filter(|attempt| !attempt.is_silent) {
            attempt.is_silent = true;
            let pick = &attempt.pick;
            let flight = crash::Flight::new(&self.job, &attempt.guard);
            self.host.check_for_crash(pick, flight, crash::Sign::Silent);
            let inputs = format_args!("endpoint={} reused={}", pick.id, attempt.is_reused);
            self.job.log_step(now, "silent", inputs);
            self.failure = Some("the endpoint did not answer in time".to_owned());
            self.needs_fresh_connection = true;
            if attempt.is_reused {
                // The connection may be dead while the endpoint is sound.
                self.tried.retain(|key| *key != pick.key);
            }
        }
    }

    /// Returns how long the endpoints may be silent before another one is tried as
    /// well, or `None` if the route allows no further attempt.
    pub(crate) fn attempt_timeout(&self) -> Option<time::Duration> {
        let route = &self.job.route;
        if !route.kind.is_retryable() || self.possible_runs >= route.attempts_max {
            return None;
        }
        let share = match route.kind.is_stream() {
            true => STREAM_TIMEOUT_FACTOR,
            false => PLAIN_TIMEOUT_SHARE,
        };
        Some(route.target_first.mul_f64(share).max(ATTEMPT_TIMEOUT_MIN))
    }

    fn handle_answer(&mut self, response: connection::Response, run: incoming::Run) -> Outcome {
        let now = self.host.clock.now();
        let names = &self.host.options.headers;
        if let Some(report) = report(names, response.headers()) {
            mutex::lock(&self.host.balancer).record_report(now, run.pick.key, report);
        }
        let is_reused = run.connection.is_reused;
        let answered = answered::classify(names, &response, self.job.raw_id.as_ref(), is_reused);
        let status = response.status();
        let head = stated::Head {
            key: run.pick.key,
            sent: run.guard.sent(),
            answered,
            status,
            headers: response.headers(),
        };
        let knew_brittle = mutex::lock(&self.host.balancer).is_brittle(now, &self.job.service);
        self.host.record_stated(now, &head);
        // A pause that the endpoint asks for is no fault of it.
        let failed = match head.pause() {
            Some(Ok(_)) => steer::End::Full,
            _ => steer::End::Failed,
        };
        let id = run.pick.id.as_str();
        let limit = headers::text(response.headers(), &names.limit).unwrap_or("-");
        let brittle = headers::text(response.headers(), &names.brittle).unwrap_or("-");
        let status_code = status.as_u16();
        let way = response.extensions().get::<forward::Way>();
        let is_direct = way.is_none();
        let via = way.map_or_else(|| "-".to_owned(), |way| way.host.to_string());
        let inputs = format_args!(
            "endpoint={id} status={status_code} as={answered:?} limit={limit} brittle={brittle} knew_brittle={knew_brittle} via={via}"
        );
        self.job.log_step(now, "answered", inputs);
        match answered {
            answered::Answered::NotRun => {
                if is_direct {
                    mutex::lock(&self.host.balancer).record_refusal(now, run.pick.key);
                }
                self.possible_runs -= 1;
                run.guard.end(steer::End::Full);
                self.failure = Some("the endpoint was full".to_owned());
                Outcome::Retry
            }
            answered::Answered::Misdirected => {
                self.possible_runs -= 1;
                run.guard.end(steer::End::Misdirected);
                self.failure = Some("the address belongs to another process".to_owned());
                Outcome::Retry
            }
            answered::Answered::Foreign => {
                let text = format!("status {} is not an answer to the request", status.as_u16());
                self.outcome_unknown(&run.pick, run.guard, steer::End::Failed, text)
            }
            answered::Answered::Failed => {
                self.failure = Some(format!("status {}", status.as_u16()));
                if self.can_retry(now) {
                    run.guard.end(failed);
                    return Outcome::Retry;
                }
                if self.must_hide(&response) {
                    run.guard.end(failed);
                } else {
                    self.fallback = Some(Box::new(run.into_answer(response)));
                }
                Outcome::Final(self.failed("the endpoint failed"))
            }
            answered::Answered::Own => Outcome::Answer(Box::new(run.into_answer(response))),
        }
    }

    /// Returns whether a failed answer must not be passed on. An unsigned
    /// answer is not the endpoint's own, and some statuses assure the caller
    /// that the request did not run.
    fn must_hide(&self, response: &connection::Response) -> bool {
        let is_signed = response
            .headers()
            .contains_key(&self.host.options.headers.signature);
        !is_signed || answered::promises_not_run(response.status())
    }

    /// Ends an attempt after which it is unknown whether the request ran.
    fn outcome_unknown(
        &mut self,
        pick: &steer::Pick,
        guard: guard::Guard,
        end: steer::End,
        cause: String,
    ) -> Outcome {
        let now = self.host.clock.now();
        self.job.log_step(
            now,
            step::LOST,
            format_args!("endpoint={} cause={cause}", pick.id),
        );
        guard.end(end);
        self.failure = Some(cause);
        if self.can_retry(now) {
            return Outcome::Retry;
        }
        Outcome::Final(self.failed("the endpoint may have run the request"))
    }

    /// Returns whether the route and the retry budget allow another attempt.
    pub(crate) fn can_retry(&self, now: time::Duration) -> bool {
        self.may_retry() && self.host.has_retry(now, &self.job.service)
    }

    /// Returns the request for the picked endpoint, without the time that is left.
    fn request(&self, pick: &steer::Pick, after: Option<u64>) -> connection::Request {
        let names = &self.host.options.headers;
        let mut request = http::Request::new(http_body_util::Full::new(self.job.body.clone()));
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = origin_form(&self.job.uri);
        let mut headers = self.job.headers.clone();
        headers.insert(names.tier.clone(), u64::from(self.job.rank.level()).into());
        if let Ok(id) = http::HeaderValue::from_str(&pick.id) {
            headers.insert(names.endpoint.clone(), id);
        }
        if let Some(after) = after {
            headers.insert(names.last_event.clone(), after.into());
        }
        if !self.job.body.is_empty() {
            headers.insert(header::CONTENT_LENGTH, self.job.body.len().into());
        }
        *request.headers_mut() = headers;
        request
    }
}

/// Returns the path and query of a URI, the request target that endpoints
/// expect.
fn origin_form(uri: &http::Uri) -> http::Uri {
    uri.path_and_query()
        .map_or_else(|| uri.clone(), |path| http::Uri::from(path.clone()))
}

/// Parses the load that an endpoint reports in its answer. A missing slowness
/// counts as 100 percent, normal speed.
pub(crate) fn report(names: &headers::Headers, headers: &http::HeaderMap) -> Option<steer::Report> {
    let text = headers::text(headers, &names.load)?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse().ok());
    let running = figures.next()??;
    let waiting = figures.next()??;
    let _slots: u32 = figures.next()??;
    let slowness_percent = figures.next().flatten().unwrap_or(100);
    Some(steer::Report {
        running,
        waiting,
        slowness_percent,
    })
}
