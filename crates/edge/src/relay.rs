use core::future;
use core::task;
use core::time;
use std::io;

use back::event;
use bytes::Bytes;
use tokio::time::Instant;

use crate::crash;
use crate::exchange;
use crate::flow;
use crate::headers;
use crate::incoming;
use crate::source;

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
    /// Runs of the request, oldest first. There is more than one while a silent run
    /// may still go on; the next one that delivers an event replaces the others.
    sources: Vec<source::Source>,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    /// Whether a run that broke has sent a part of the event after that one.
    has_more: bool,
    has_begun: bool,
    /// Whether the answer is a success, which another run may go on with.
    is_success: bool,
    is_over: bool,
    /// When the last event arrived.
    progress: Instant,
    /// Since when the silence of the runs counts.
    silent_since: Instant,
}

/// Change of the runs of a stream.
enum Turn {
    /// The run at this place of the list delivered events; the id is that of the
    /// last one.
    Events(usize, Bytes, Option<u64>),
    /// The run at this place of the list is complete.
    End(usize),
    /// The run at this place of the list broke.
    Broken(usize, String),
    /// The body of the run at this place of the list has ended within an event.
    Partial(usize, event::Error),
    /// The run at this place of the list sent an event that exceeds its bound.
    Oversized(usize, String),
    /// No event arrived within the stall time-out.
    Stalled,
    /// Another endpoint answered, or no attempt is left.
    Found(Result<Box<incoming::Answer>, answer::Refusal>),
    /// The deadline has passed.
    Late,
}

/// Serves a request whose answer is a stream of events.
pub(crate) async fn serve(mut flow: flow::Flow) -> exchange::Response {
    if let Err(refusal) = flow.find_build().await {
        return exchange::refused(flow, refusal);
    }
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
        sources: vec![source::Source::new(answer, last.is_some())],
        last,
        has_more: false,
        has_begun: !status.is_success(),
        is_success: status.is_success(),
        is_over: false,
        progress: Instant::now(),
        silent_since: Instant::now(),
    };
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
            match self.turn().await {
                Turn::Events(index, events, last) => {
                    self.keep_only(index);
                    self.record_events();
                    self.last = last;
                    return Ok(Some(events));
                }
                Turn::End(index) if self.lacks_event(index) => {
                    let cause = "the rest of the stream lacks an event that had begun";
                    self.record_lost(index, cause.to_owned());
                    self.replace_lost().await?;
                }
                Turn::End(index) => {
                    self.keep_only(index);
                    self.finish();
                    return Ok(None);
                }
                Turn::Late => return Err(self.time_out()),
                Turn::Broken(index, cause) => {
                    self.record_lost(index, cause);
                    self.replace_lost().await?;
                }
                Turn::Partial(index, cause) => {
                    self.flow.count_partial(&self.sources[index].answer);
                    self.record_lost(index, cause.to_string());
                    self.replace_lost().await?;
                }
                Turn::Oversized(index, cause) => {
                    self.flow.count_oversized();
                    self.record_lost(index, cause);
                    self.replace_lost().await?;
                }
                Turn::Stalled => {
                    self.record_stall();
                    self.refresh_builds().await;
                    if let Err(refusal) = self.flow.ask(self.last) {
                        self.flow.log_kept(self.sources.len(), &refusal);
                    }
                    self.silent_since = Instant::now();
                }
                Turn::Found(Ok(answer)) if answer.status.is_success() => {
                    let is_rest = self.has_begun || self.last.is_some();
                    self.sources.push(source::Source::new(*answer, is_rest));
                    self.silent_since = Instant::now();
                }
                Turn::Found(found) => {
                    let text = "the stream could not be resumed";
                    let refusal = found.err().unwrap_or_else(|| self.flow.failed(text));
                    // An answer that is no success leaves other attempts open.
                    let open = self.sources.len() + self.flow.open.len();
                    if open == 0 {
                        return Err(refusal);
                    }
                    self.flow.log_kept(open, &refusal);
                }
            }
        }
    }

    /// Returns whether another run than that at this place of the list has sent a part of
    /// an event that was not passed on.
    fn lacks_event(&self, index: usize) -> bool {
        let mut others = self.sources.iter().enumerate();
        self.has_more || others.any(|(place, source)| place != index && source.is_within_event())
    }

    /// Waits for the next change of the runs and of the open attempts.
    async fn turn(&mut self) -> Turn {
        let due = Instant::now() + self.flow.job.left(self.flow.host.clock.now());
        let wake = self
            .stall()
            .map_or(due, |stall| (self.silent_since + stall).min(due));
        let is_asking = self.is_success && !self.flow.open.is_empty();
        tokio::select! {
            biased;
            turn = next_turn(&mut self.sources, self.last) => turn,
            found = self.flow.next_answer(self.last), if is_asking => {
                Turn::Found(found.map(Box::new))
            }
            () = tokio::time::sleep_until(wake) => {
                if wake < due { Turn::Stalled } else { Turn::Late }
            }
        }
    }

    /// Begins another attempt if no run and no attempt is left.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there can be none.
    async fn replace_lost(&mut self) -> Result<(), answer::Refusal> {
        if !self.sources.is_empty() || (self.is_success && !self.flow.open.is_empty()) {
            return Ok(());
        }
        if !self.is_success || !self.flow.may_retry() {
            return Err(self.flow.failed("the stream broke"));
        }
        self.refresh_builds().await;
        self.flow.ask(self.last)
    }

    /// Reads the newest builds of the endpoints if the stream is bound to one. A process
    /// of another build may have started in the place of the one that crashed.
    async fn refresh_builds(&mut self) {
        if self.flow.continuation.build().is_some() {
            let host = self.flow.host.clone();
            host.refresh_endpoints().await;
        }
    }

    /// Ends all other runs and attempts than the run at this place of the list.
    /// Earlier ones were silent.
    fn keep_only(&mut self, index: usize) {
        let number = self.sources[index].answer.number;
        let kept = self.sources.swap_remove(index);
        for other in self.sources.drain(..) {
            if other.answer.number < number {
                other.answer.guard.end(steer::End::Lost);
            }
        }
        self.sources.push(kept);
        self.flow.commit(number);
    }

    /// Records that events arrived from the only run.
    fn record_events(&mut self) {
        let gap = self.progress.elapsed();
        self.progress = Instant::now();
        self.silent_since = self.progress;
        let now = self.flow.host.clock.now();
        if self.has_begun {
            let tags = [("service", self.flow.job.service.as_str())];
            self.flow.host.metrics.time("event_gap_ms", &tags, gap);
            let longest = &mut self.flow.job.longest_gap;
            *longest = gap.max(*longest);
        } else {
            self.has_begun = true;
            self.flow.record_first_event();
            if let Some(source) = self.sources.first() {
                self.flow.bind_build(&source.answer.pick);
            }
        }
        for source in &mut self.sources {
            source.is_silent = false;
            self.has_more &= source.events == 0;
            if core::mem::replace(&mut source.has_begun, true) {
                source.answer.guard.record_events(gap, source.events);
                continue;
            }
            let answer = &mut source.answer;
            let service = &self.flow.job.service;
            answer
                .guard
                .record_first_event(service, answer.pick.wait_ms);
            let endpoint = &source.answer.pick.id;
            let inputs = format_args!("endpoint={endpoint}");
            self.flow.job.log_step(now, "begun", inputs);
        }
    }

    fn record_stall(&mut self) {
        let now = self.flow.host.clock.now();
        let last = self.last;
        for source in self.sources.iter_mut().filter(|source| !source.is_silent) {
            source.is_silent = true;
            let answer = &source.answer;
            let pick = &answer.pick;
            self.flow
                .check_for_crash(pick, &answer.guard, crash::Sign::Silent);
            let inputs = format_args!("endpoint={} last={last:?}", pick.id);
            self.flow.job.log_step(now, "stalled", inputs);
        }
    }

    fn record_lost(&mut self, index: usize, cause: String) {
        let now = self.flow.host.clock.now();
        let source = self.sources.remove(index);
        self.has_more |= source.is_within_event();
        let answer = source.answer;
        let inputs = format_args!(
            "endpoint={} last={:?} framed={} cause={cause}",
            answer.pick.id, self.last, answer.is_framed
        );
        self.flow.job.log_step(now, "broken", inputs);
        self.flow
            .check_for_crash(&answer.pick, &answer.guard, crash::Sign::Broken);
        answer.guard.end(steer::End::Lost);
        self.flow.failure = Some(cause);
    }

    /// Returns the time without an event after which another endpoint is asked for
    /// the rest of the stream, or `None` if none may be; then only the deadline
    /// bounds the wait.
    fn stall(&self) -> Option<time::Duration> {
        let route = &self.flow.job.route;
        let now = self.flow.host.clock.now();
        let can_move = self.is_success
            && self.flow.may_retry()
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

    /// Ends the stream with its only run.
    fn finish(&mut self) {
        self.is_over = true;
        self.flow.conclude("served");
        for source in self.sources.drain(..) {
            self.flow.record_completion(&source.answer);
            source.answer.finish(&self.flow.host);
        }
    }

    fn time_out(&mut self) -> answer::Refusal {
        for source in self.sources.drain(..) {
            let answer = &source.answer;
            self.flow
                .check_for_crash(&answer.pick, &answer.guard, crash::Sign::Silent);
            source.answer.guard.end(steer::End::Lost);
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

/// Waits for the next change of the runs.
///
/// It never returns if the list is empty. Cancelling it loses nothing.
async fn next_turn(sources: &mut [source::Source], last: Option<u64>) -> Turn {
    let (index, read) = future::poll_fn(|context| {
        for (index, source) in sources.iter_mut().enumerate() {
            if let task::Poll::Ready(read) = source.poll_read(context, last) {
                return task::Poll::Ready((index, read));
            }
        }
        task::Poll::Pending
    })
    .await;
    match read {
        source::Read::Events(events, last) => Turn::Events(index, events, last),
        source::Read::End => Turn::End(index),
        source::Read::Broken(cause) => Turn::Broken(index, cause),
        source::Read::Partial(cause) => Turn::Partial(index, cause),
        source::Read::Oversized(cause) => Turn::Oversized(index, cause),
    }
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
