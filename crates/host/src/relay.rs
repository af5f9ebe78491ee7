use core::time;

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::flow;
use crate::permit;
use crate::terms;
use crate::transcript;

/// Reason why an answer could not be read to its end.
#[derive(Debug)]
pub(crate) struct Error(pub(crate) String);

/// Reads the next piece of data of an endpoint's answer.
///
/// # Errors
///
/// Fails if the connection breaks or no data arrives within `stall`.
pub(crate) async fn next(
    body: &mut back::Body,
    stall: time::Duration,
) -> Result<Option<Bytes>, Error> {
    loop {
        let frame = match tokio::time::timeout(stall, body.frame()).await {
            Err(_) => {
                return Err(Error(format!(
                    "the endpoint sent no data for {} ms",
                    stall.as_millis()
                )));
            }
            Ok(None) => return Ok(None),
            Ok(Some(Err(cause))) => return Err(Error(cause.to_string())),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data()
            && !data.is_empty()
        {
            return Ok(Some(data));
        }
    }
}

/// Reads a whole answer.
///
/// # Errors
///
/// Fails if the connection breaks, no data arrives within `stall` or
/// the answer is above `limit` bytes.
pub(crate) async fn read_whole(
    mut body: back::Body,
    limit: usize,
    stall: time::Duration,
) -> Result<Bytes, Error> {
    let mut all = bytes::BytesMut::new();
    while let Some(data) = next(&mut body, stall).await? {
        if all.len() + data.len() > limit {
            return Err(Error(format!("the answer is above {limit} bytes")));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}

/// The stream from an endpoint and the permit that it runs under.
pub(crate) struct Source {
    pub(crate) permit: permit::Permit,
    pub(crate) body: back::Body,
    /// Data that was read before the answer to the caller started.
    pub(crate) first: Option<Bytes>,
}

/// Input for resuming a stream at another endpoint.
pub(crate) struct Resume {
    pub(crate) flow: flow::Flow,
    pub(crate) request: front::Request,
    pub(crate) terms: terms::Terms,
    /// Number of earlier attempts, including those that resumed the stream.
    pub(crate) attempt: u16,
    /// Whether the stream may be resumed: the request is idempotent and its pool
    /// has `resume = true`.
    pub(crate) is_allowed: bool,
}

/// A stream that is relayed to the caller.
struct Stream {
    source: Source,
    tally: back::EventCounter,
    transcript: transcript::Transcript,
    resume: Resume,
    /// Tokens that earlier endpoints delivered.
    earlier_tokens: u32,
}

/// Relays an event stream whose first data was read, and reports its end.
///
/// A stream that breaks is resumed at another endpoint if `resume` allows it.
/// Otherwise it ends with an error event, so that the caller can distinguish it from
/// a complete answer.
pub(crate) fn events(source: Source, resume: Resume) -> front::Body {
    let stream = Stream {
        source,
        tally: back::EventCounter::default(),
        transcript: transcript::Transcript::default(),
        resume,
        earlier_tokens: 0,
    };
    front::Body::from_stream(futures_util::stream::unfold(Some(stream), step))
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
                stream.source.permit.finish(pool::Outcome::Complete);
                return None;
            }
            Step::Fail(cause) => {
                let event = stream.fail(&cause);
                return Some((Ok(event), None));
            }
        }
    }
}

impl Stream {
    async fn read(&mut self) -> Step {
        let read = match self.source.first.take() {
            Some(first) => Ok(Some(first)),
            None => next(&mut self.source.body, self.resume.flow.stall_timeout).await,
        };
        match read {
            Ok(Some(data)) => self.pass(data),
            Ok(None) if self.tally.is_done() => Step::End,
            Ok(None) => {
                self.resume_elsewhere("the endpoint closed the stream early")
                    .await
            }
            Err(Error(cause)) => self.resume_elsewhere(&cause).await,
        }
    }

    fn pass(&mut self, data: Bytes) -> Step {
        // The transcript is only needed to resume the stream.
        let data = if self.resume.is_allowed {
            self.transcript.push(data)
        } else {
            data
        };
        if data.is_empty() {
            return Step::Continue;
        }
        self.tally.push(&data);
        let tokens = self.tally.tokens() - self.earlier_tokens;
        self.source.permit.set_tokens(tokens);
        Step::Pass(data)
    }

    /// Resumes the stream at another endpoint after a failure with this cause.
    async fn resume_elsewhere(&mut self, cause: &str) -> Step {
        let resume = &mut self.resume;
        let avoid = self.source.permit.grant().name.clone();
        resume.flow.broker.report_crash(&resume.request, &avoid);
        if !resume.is_allowed {
            return Step::Fail(cause.to_owned());
        }
        self.transcript.drop_partial_event();
        if self.transcript.is_finished() {
            // Only the final event is missing.
            self.tally.push(DONE);
            return Step::Pass(Bytes::from_static(DONE));
        }
        let path = resume.request.target.endpoint_path();
        let Some(body) = self.transcript.resume(path, &resume.request.body) else {
            return Step::Fail(cause.to_owned());
        };
        log::info!(
            target: "host",
            request = resume.request.id.as_str(),
            endpoint = self.source.permit.grant().name.as_str();
            "request {} resumes at another endpoint after {} tokens: {cause}",
            resume.request.id,
            self.transcript.tokens()
        );
        self.earlier_tokens = self.tally.tokens();
        resume.attempt += 1;
        self.source.permit.end(pool::Outcome::Failed);
        match resume.flow.resume(resume, body, &avoid).await {
            Ok(source) => {
                self.source = source;
                Step::Continue
            }
            Err(refusal) => Step::Fail(format!("{cause}; {}", refusal.message)),
        }
    }

    /// Ends the permit as failed and returns the error event for the caller.
    fn fail(mut self, cause: &str) -> Bytes {
        let tokens = self.tally.tokens();
        log::warn!(
            target: "host",
            request = self.resume.request.id.as_str(),
            endpoint = self.source.permit.grant().name.as_str();
            "stream of request {} ended early after {tokens} tokens: {cause}",
            self.resume.request.id
        );
        self.source.permit.end(pool::Outcome::Failed);
        let entry = answer::Kind::EndpointFailed.entry();
        let event = serde_json::json!({
            "error": { "kind": entry.name, "message": cause, "run_state": entry.run_state.name() }
        });
        Bytes::from(format!("data: {event}\n\n"))
    }
}

/// Final event of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";
