use core::future;
use core::pin;
use core::time;
use std::sync;

use back::event;
use bytes::Bytes;
use futures_util::stream;
use futures_util::stream::StreamExt;
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::flow;
use crate::permit;
use crate::rest;
use crate::terms;
use crate::transcript;

/// Reason why an answer could not be read to its end.
#[derive(Debug)]
pub(crate) struct Error(pub(crate) String);

/// Reads the next piece of data of an endpoint's answer; `None` at its end.
///
/// Cancelling it loses nothing.
///
/// # Errors
///
/// Fails if the connection breaks.
pub(crate) async fn next(body: &mut back::Body) -> Result<Option<Bytes>, Error> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| Error(cause.to_string()))?;
        if let Ok(data) = frame.into_data()
            && !data.is_empty()
        {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// The stream from an endpoint and the permit that it runs under.
pub(crate) struct Source {
    pub(crate) permit: permit::Permit,
    pub(crate) body: back::Body,
    /// Whether the endpoint declares the end of the body.
    pub(crate) is_framed: bool,
    /// Data that was read before the answer to the caller started.
    pub(crate) first: Option<Bytes>,
}

/// Input for resuming a stream at another endpoint.
pub(crate) struct Resume {
    pub(crate) flow: flow::Flow,
    pub(crate) request: front::Request,
    pub(crate) terms: terms::Terms,
    /// Deadline of the request, from the start of the process.
    pub(crate) deadline: time::Duration,
    /// Whether the stream may be resumed: the request is idempotent and its pool
    /// has `resume = true`.
    pub(crate) is_allowed: bool,
    /// Endpoints that were asked for the rest and are of another build.
    pub(crate) other_builds: sync::Mutex<Vec<String>>,
}

/// Waits until another endpoint delivers the rest of a stream.
type Asked = pin::Pin<Box<dyn Future<Output = Result<Source, answer::Refusal>> + Send>>;

/// A stream that is relayed to the caller.
struct Stream {
    /// The run that delivers; absent after it broke.
    source: Option<Source>,
    /// Endpoints that are asked for the rest. The first one that delivers takes over;
    /// if the silent run goes on first, they are cancelled.
    asked: stream::FuturesUnordered<Asked>,
    /// Holds back the start of an event whose end has not arrived, so that the caller gets
    /// complete events only.
    splitter: event::Splitter,
    tally: back::EventCounter,
    transcript: transcript::Transcript,
    resume: sync::Arc<Resume>,
    /// Number of earlier attempts, including those that resumed the stream.
    attempt: u16,
    /// Endpoint of the last run.
    endpoint: String,
    /// Why the last run broke.
    cause: String,
    /// Since when the silence of the run counts.
    silent_since: Instant,
    /// Whether the caller has received the whole answer.
    is_over: bool,
    /// Tokens that earlier endpoints delivered.
    earlier_tokens: u32,
}

/// Relays an event stream whose first data was read, and reports its end.
///
/// A stream that breaks is resumed at another endpoint if `resume` allows it. A silent
/// run goes on until another endpoint delivers, and until the deadline if none does.
/// Otherwise the stream ends with an error event, so that the caller can distinguish
/// it from a complete answer. `attempt` is the number of earlier attempts.
pub(crate) fn events(source: Source, resume: Resume, attempt: u16) -> front::Body {
    let stream = Stream {
        endpoint: source.permit.grant().name.clone(),
        source: Some(source),
        asked: stream::FuturesUnordered::new(),
        splitter: event::Splitter::default(),
        tally: back::EventCounter::default(),
        transcript: transcript::Transcript::default(),
        resume: sync::Arc::new(resume),
        attempt,
        cause: String::new(),
        silent_since: Instant::now(),
        is_over: false,
        earlier_tokens: 0,
    };
    front::Body::from_stream(stream::unfold(Some(stream), step))
}

type Item = Result<Bytes, std::io::Error>;

/// Action after one read.
enum Step {
    Pass(Bytes),
    Continue,
    End,
    Fail(String),
}

async fn step(stream: Option<Stream>) -> Option<(Item, Option<Stream>)> {
    let mut stream = stream?;
    loop {
        match stream.read().await {
            Step::Pass(data) => return Some((Ok(data), Some(stream))),
            Step::Continue => {}
            Step::End => {
                stream.end(pool::Outcome::Complete);
                return None;
            }
            Step::Fail(cause) => {
                let event = stream.fail(&cause);
                return Some((Ok(event), None));
            }
        }
    }
}

/// Change of the runs of a stream.
enum Turn {
    Read(Result<Option<Bytes>, Error>),
    /// An endpoint that was asked delivers, or refuses.
    Found(Result<Box<Source>, answer::Refusal>),
    /// The run was silent for the stall time-out.
    Silent,
}

impl Stream {
    async fn read(&mut self) -> Step {
        if self.is_over {
            return Step::End;
        }
        let wake = self.wake();
        let has_source = self.source.is_some();
        let turn = tokio::select! {
            biased;
            read = next_data(&mut self.source) => Turn::Read(read),
            Some(found) = self.asked.next() => Turn::Found(found.map(Box::new)),
            () = tokio::time::sleep_until(wake), if has_source => Turn::Silent,
        };
        match turn {
            Turn::Read(Ok(Some(data))) => self.pass(data),
            // The last event has arrived; how the body ends no longer matters.
            Turn::Read(Ok(None) | Err(_)) if self.tally.is_done() => Step::End,
            Turn::Read(Ok(None)) => self.end_early(),
            Turn::Read(Err(Error(cause))) => self.break_off(&cause),
            Turn::Found(Ok(source)) => self.take_over(*source),
            Turn::Found(Err(refusal)) => self.record_refusal(&refusal),
            Turn::Silent if self.tally.is_done() => Step::End,
            Turn::Silent => self.record_silence(),
        }
    }

    /// Returns when the silence of the run is to be acted on.
    fn wake(&self) -> Instant {
        let stalled = self.silent_since + self.resume.flow.stall_timeout;
        match self.may_ask() || self.tally.is_done() {
            true => stalled,
            false => stalled.max(Instant::now() + self.left()),
        }
    }

    /// Returns the time until the deadline of the request.
    fn left(&self) -> time::Duration {
        let now = self.resume.flow.clock.now();
        self.resume.deadline.saturating_sub(now)
    }

    fn may_ask(&self) -> bool {
        // After the deadline one endpoint is asked at a time, and its refusal ends the
        // stream, so that endpoints that hang cannot hold it for ever.
        let asked_max = if self.left().is_zero() { 1 } else { ASKED_MAX };
        self.resume.is_allowed && !self.transcript.is_finished() && self.asked.len() < asked_max
    }

    fn pass(&mut self, data: Bytes) -> Step {
        self.asked.clear();
        self.silent_since = Instant::now();
        let events = self.splitter.split(data);
        if self.splitter.pending() > EVENT_MAX_BYTES {
            let cause = format!("an event exceeds {EVENT_MAX_BYTES} bytes");
            return self.go_on(&cause, pool::Outcome::Failed);
        }
        // The transcript is only needed to resume the stream.
        if self.resume.is_allowed
            && let Err(transcript::NoRest) = self.transcript.push(&events)
        {
            let cause = "the endpoint sent no rest of the answer";
            return self.replace(cause, pool::Outcome::Broken);
        }
        self.tally.push(&events);
        let tokens = self.tally.tokens() - self.earlier_tokens;
        if let Some(source) = &mut self.source {
            source.permit.set_silent(false);
            if !events.is_empty() {
                source.permit.set_tokens(tokens);
            }
        }
        if events.is_empty() {
            return Step::Continue;
        }
        Step::Pass(events)
    }

    /// Acts on a run whose body has ended before the last event. A process that ends its
    /// body as declared has not crashed.
    fn end_early(&mut self) -> Step {
        let cause = match self.splitter.finish() {
            Ok(_) => "the endpoint closed the stream early".to_owned(),
            Err(cause) => cause.to_string(),
        };
        match self.source.as_ref().is_some_and(|source| source.is_framed) {
            true => self.go_on(&cause, pool::Outcome::Failed),
            false => self.break_off(&cause),
        }
    }

    /// Acts on a run whose connection broke with this cause.
    fn break_off(&mut self, cause: &str) -> Step {
        self.report_crash();
        self.go_on(cause, pool::Outcome::Broken)
    }

    /// Completes an answer whose run has ended like this, or asks another endpoint for the
    /// rest.
    fn go_on(&mut self, cause: &str, outcome: pool::Outcome) -> Step {
        if self.transcript.is_finished() {
            return self.complete();
        }
        self.replace(cause, outcome)
    }

    /// Ends a run and asks another endpoint for the rest.
    fn replace(&mut self, cause: &str, outcome: pool::Outcome) -> Step {
        self.end(outcome);
        self.attempt += 1;
        self.cause = cause.to_owned();
        if self.asked.is_empty() && !self.ask(cause) {
            return Step::Fail(cause.to_owned());
        }
        Step::Continue
    }

    /// Acts on a run that was silent for the stall time-out.
    fn record_silence(&mut self) -> Step {
        if let Some(source) = &mut self.source {
            source.permit.set_silent(true);
        }
        let text = "the endpoint sends no data";
        self.silent_since = Instant::now();
        if self.may_ask() && self.ask(text) {
            self.resume.terms.trace.record_silence(&self.endpoint);
            return Step::Continue;
        }
        if !self.left().is_zero() || !self.asked.is_empty() {
            return Step::Continue;
        }
        if self.transcript.is_finished() {
            return self.complete();
        }
        self.report_crash();
        Step::Fail(format!("{text} and the deadline has passed"))
    }

    /// Acts on the refusal of an endpoint that was asked for the rest.
    fn record_refusal(&mut self, refusal: &answer::Refusal) -> Step {
        if !self.asked.is_empty() {
            return Step::Continue;
        }
        if self.source.is_none() {
            return Step::Fail(format!("{}; {}", self.cause, refusal.message));
        }
        if self.left().is_zero() {
            self.report_crash();
            return Step::Fail(format!("the endpoint sends no data; {}", refusal.message));
        }
        self.resume.terms.trace.record_kept(refusal);
        self.silent_since = Instant::now();
        Step::Continue
    }

    /// Replaces the run by another one that delivers the rest.
    fn take_over(&mut self, source: Source) -> Step {
        if self.source.is_some() {
            self.report_crash();
            self.end(pool::Outcome::Broken);
            self.attempt += 1;
        }
        self.asked.clear();
        self.splitter = event::Splitter::default();
        self.transcript.expect_rest();
        self.earlier_tokens = self.tally.tokens();
        self.endpoint = source.permit.grant().name.clone();
        self.source = Some(source);
        self.silent_since = Instant::now();
        Step::Continue
    }

    /// Completes an answer of which only the final event is missing.
    fn complete(&mut self) -> Step {
        self.is_over = true;
        self.tally.push(DONE);
        Step::Pass(Bytes::from_static(DONE))
    }

    /// Asks another endpoint for the rest; returns whether that is possible.
    fn ask(&mut self, cause: &str) -> bool {
        let resume = self.resume.clone();
        if !resume.is_allowed {
            return false;
        }
        let path = resume.request.target.endpoint_path();
        let Some(body) = self.transcript.resume(path, &resume.request.body) else {
            return false;
        };
        log::info!(
            target: "host",
            request = resume.request.id.as_str(),
            endpoint = self.endpoint.as_str();
            "another endpoint is asked for the rest of request {} after {} tokens: {cause}",
            resume.request.id,
            self.transcript.tokens()
        );
        let is_silent = self.source.is_some();
        let rest = rest::Rest {
            body,
            // An open run counts as an earlier attempt too.
            attempt: self.attempt + u16::from(is_silent),
            avoid: self.endpoint.clone(),
            build: self.transcript.build().map(str::to_owned),
            silent: is_silent.then(|| self.endpoint.clone()),
        };
        let asked = async move { resume.flow.resume(&resume, rest).await };
        self.asked.push(Box::pin(asked));
        true
    }

    fn report_crash(&self) {
        let broker = &self.resume.flow.broker;
        broker.report_crash(&self.resume.request, &self.endpoint);
    }

    /// Ends the run and closes its connection.
    fn end(&mut self, outcome: pool::Outcome) {
        if let Some(mut source) = self.source.take() {
            source.permit.end(outcome);
        }
    }

    /// Ends the run as failed and returns the error event for the caller.
    fn fail(mut self, cause: &str) -> Bytes {
        let tokens = self.tally.tokens();
        log::warn!(
            target: "host",
            request = self.resume.request.id.as_str(),
            endpoint = self.endpoint.as_str();
            "stream of request {} ended early after {tokens} tokens: {cause}",
            self.resume.request.id
        );
        self.end(pool::Outcome::Broken);
        let entry = answer::Kind::EndpointFailed.entry();
        let event = serde_json::json!({
            "error": { "kind": entry.name, "message": cause, "run_state": entry.run_state.name() }
        });
        Bytes::from(format!("data: {event}\n\n"))
    }
}

/// Reads the next data of a run; never returns without one.
async fn next_data(source: &mut Option<Source>) -> Result<Option<Bytes>, Error> {
    let Some(source) = source else {
        return future::pending().await;
    };
    match source.first.take() {
        Some(first) => Ok(Some(first)),
        None => next(&mut source.body).await,
    }
}

/// Maximum number of endpoints that are asked for the rest of a stream at a time.
const ASKED_MAX: usize = 3;

/// Most bytes of an event that are held back until it is complete.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Final event of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";
