use core::time;
use std::io;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::crash;
use crate::event;
use crate::exchange;
use crate::flow;
use crate::headers;
use crate::incoming;

/// Multiple of the route's target gap between events after which a resumable
/// stream counts as stalled.
const STALL_PAUSES: u32 = 4;

/// Shortest time without an event after which a stream counts as stalled.
const STALL_MIN: time::Duration = time::Duration::from_millis(1_000);

/// Multiple of the route's target for the first event after which a stream
/// without any event counts as stalled.
const FIRST_TARGETS: u32 = 3;

/// A stream of events that is being relayed to the caller.
struct Relay {
    flow: flow::Flow,
    answer: Option<incoming::Answer>,
    splitter: event::Splitter,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    has_begun: bool,
    is_over: bool,
    /// When the last event arrived.
    progress: Instant,
}

/// Result of reading the next events.
enum Read {
    Events(Bytes),
    End,
    Broken(String),
    /// No event arrived within the stall time-out.
    Stalled,
    Late,
}

/// Serves a request whose answer is a stream of events.
pub(crate) async fn serve(mut flow: flow::Flow) -> exchange::Response {
    let last = flow.job.last_event;
    let answer = match flow.next_answer(last).await {
        Ok(answer) => answer,
        Err(refusal) => return exchange::refused(flow, refusal),
    };
    let status = answer.status;
    let mut headers = answer.headers.clone();
    headers::strip_connection(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let mut relay = Relay {
        flow,
        answer: Some(answer),
        splitter: event::Splitter::default(),
        last,
        has_begun: false,
        is_over: false,
        progress: Instant::now(),
    };
    if !status.is_success() {
        relay.has_begun = true;
    }
    // Until the first event arrives, a refusal can still replace the answer.
    match relay.next().await {
        Ok(first) => exchange::streamed(status, headers, relay.into_body(first)),
        Err(refusal) => exchange::refused(relay.flow, refusal),
    }
}

impl Relay {
    /// Returns the next events, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the deadline passes, or if the stream breaks and
    /// cannot be resumed.
    async fn next(&mut self) -> Result<Option<Bytes>, answer::Refusal> {
        loop {
            match self.read().await {
                Read::Events(events) => return Ok(Some(events)),
                Read::End => {
                    self.finish();
                    return Ok(None);
                }
                Read::Late => return Err(self.time_out()),
                Read::Broken(cause) => self.resume(cause, crash::Sign::Broken).await?,
                Read::Stalled => {
                    let cause = "no event arrived within the stall time-out".to_owned();
                    self.resume(cause, crash::Sign::Silent).await?;
                }
            }
        }
    }

    async fn read(&mut self) -> Read {
        let due = Instant::now() + self.flow.job.left(self.flow.host.clock.now());
        let stall = self.stall();
        let Some(answer) = &mut self.answer else {
            return Read::End;
        };
        loop {
            let wake = stall.map_or(due, |stall| (self.progress + stall).min(due));
            let frame = tokio::select! {
                frame = answer.body.frame() => frame,
                () = tokio::time::sleep_until(wake) => {
                    if wake >= due {
                        return Read::Late;
                    }
                    return Read::Stalled;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    self.splitter.push(data);
                    match take_events(&mut self.splitter, &mut self.last) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => {
                            let gap = self.progress.elapsed();
                            self.progress = Instant::now();
                            if self.has_begun {
                                let tags = [("service", self.flow.job.service.as_str())];
                                self.flow.host.metrics.time("event_gap_ms", &tags, gap);
                                let longest = &mut self.flow.job.longest_gap;
                                *longest = gap.max(*longest);
                            } else {
                                self.has_begun = true;
                                answer.guard.record_first_event();
                                self.flow.record_first_event();
                                let now = self.flow.host.clock.now();
                                self.flow.job.log_step(
                                    now,
                                    "begun",
                                    format_args!("endpoint={}", answer.pick.id),
                                );
                            }
                            return Read::Events(events);
                        }
                        Err(cause) => return Read::Broken(cause),
                    }
                }
                Some(Err(cause)) => return Read::Broken(cause.to_string()),
                None => {
                    let rest = self.splitter.rest();
                    if rest.is_empty() {
                        return Read::End;
                    }
                    if answer.is_framed() {
                        return Read::Events(rest);
                    }
                    return Read::Broken("the connection ended within an event".to_owned());
                }
            }
        }
    }

    /// Returns the time without an event after which the stream counts as
    /// stalled, or `None` if it cannot be resumed at another endpoint; then
    /// only the deadline bounds the wait.
    fn stall(&self) -> Option<time::Duration> {
        let route = &self.flow.job.route;
        let now = self.flow.host.clock.now();
        let can_move = self.flow.may_retry()
            && route.kind.is_retryable()
            && self.flow.host.has_retry(now, &self.flow.job.service);
        if !can_move {
            return None;
        }
        let pause = match self.has_begun {
            true => route.target_gap.unwrap_or(route.target_first) * STALL_PAUSES,
            false => route.target_first * FIRST_TARGETS,
        };
        Some(pause.max(STALL_MIN))
    }

    /// Resumes the stream at another endpoint after the last complete event.
    async fn resume(&mut self, cause: String, sign: crash::Sign) -> Result<(), answer::Refusal> {
        self.splitter = event::Splitter::default();
        let now = self.flow.host.clock.now();
        let endpoint = self
            .answer
            .as_ref()
            .map_or("", |answer| answer.pick.id.as_str());
        let inputs = format!("endpoint={endpoint} last={:?} cause={cause}", self.last);
        self.flow
            .job
            .log_step(now, "broken", format_args!("{inputs}"));
        if let Some(answer) = self.answer.take() {
            self.flow.check_for_crash(&answer.pick, sign);
            answer.guard.end(steer::End::Lost);
        }
        self.flow.failure = Some(cause);
        if !self.flow.may_retry() {
            return Err(self.flow.failed("the stream broke"));
        }
        let answer = self.flow.next_answer(self.last).await?;
        if !answer.status.is_success() {
            return Err(self.flow.failed("the stream could not be resumed"));
        }
        self.answer = Some(answer);
        self.progress = Instant::now();
        Ok(())
    }

    fn finish(&mut self) {
        self.is_over = true;
        self.flow.conclude("served");
        if let Some(answer) = self.answer.take() {
            self.flow.record_completion(&answer);
            answer.finish(&self.flow.host);
        }
    }

    fn time_out(&mut self) -> answer::Refusal {
        if let Some(answer) = self.answer.take() {
            self.flow.check_for_crash(&answer.pick, crash::Sign::Silent);
            answer.guard.end(steer::End::Lost);
        }
        self.flow.timed_out()
    }

    /// Returns the events as a body that drives the relay while it is read.
    fn into_body(self, first: Option<Bytes>) -> axum::body::Body {
        let state = Body {
            relay: self,
            first,
            is_cut: false,
        };
        axum::body::Body::from_stream(futures_util::stream::unfold(state, Body::step))
    }
}

/// Takes the complete events from the buffer and updates the last event id.
///
/// # Errors
///
/// Fails if an id does not increase: the endpoint sent an event that was
/// passed on before.
fn take_events(splitter: &mut event::Splitter, last: &mut Option<u64>) -> Result<Bytes, String> {
    let mut events = BytesMut::new();
    while let Some(whole) = splitter.next_event() {
        if let Some(id) = event::id(&whole) {
            if last.is_some_and(|last| id <= last) {
                return Err(format!(
                    "event {id} comes after event {}",
                    last.unwrap_or(0)
                ));
            }
            *last = Some(id);
        }
        events.extend_from_slice(&whole);
    }
    Ok(events.freeze())
}

struct Body {
    relay: Relay,
    first: Option<Bytes>,
    is_cut: bool,
}

impl Body {
    async fn step(mut self) -> Option<(Result<Bytes, io::Error>, Self)> {
        if let Some(first) = self.first.take() {
            return Some((Ok(first), self));
        }
        if self.relay.is_over || self.is_cut {
            return None;
        }
        match self.relay.next().await {
            Ok(Some(events)) => Some((Ok(events), self)),
            Ok(None) => None,
            Err(refusal) => {
                self.is_cut = true;
                self.relay.flow.mark_truncated(&refusal);
                // An error closes the connection without the end of the body,
                // so the caller sees that the stream is incomplete.
                Some((Err(io::Error::other(refusal.message)), self))
            }
        }
    }
}
