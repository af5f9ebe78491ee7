use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time;

use crate::crash;
use crate::exchange;
use crate::flow;
use crate::headers;
use crate::incoming;

/// An answer that exceeds the buffer and is passed on while it arrives.
struct Remainder {
    flow: flow::Flow,
    /// `None` once the answer has ended.
    answer: Option<incoming::Answer>,
    /// Bytes that were buffered before the head was passed on.
    prefix: Option<Bytes>,
}

/// Passes on an answer whose beginning is buffered in `prefix`.
pub(crate) fn serve(
    flow: flow::Flow,
    answer: incoming::Answer,
    prefix: Bytes,
) -> exchange::Response {
    let status = answer.status;
    let mut headers = answer.headers.clone();
    headers::strip_connection(&mut headers);
    let remainder = Remainder {
        flow,
        answer: Some(answer),
        prefix: Some(prefix),
    };
    let body = futures_util::stream::unfold(remainder, Remainder::step);
    exchange::streamed(status, headers, axum::body::Body::from_stream(body))
}

impl Remainder {
    async fn step(mut self) -> Option<(Result<Bytes, io::Error>, Self)> {
        if let Some(prefix) = self.prefix.take() {
            return Some((Ok(prefix), self));
        }
        let left = self.flow.job.left(self.flow.host.clock.now());
        loop {
            let answer = self.answer.as_mut()?;
            let Ok(frame) = time::timeout(left, answer.body.frame()).await else {
                let refusal = self.flow.timed_out();
                self.flow
                    .check_for_crash(&answer.pick, &answer.guard, crash::Sign::Silent);
                return Some(self.truncate(&refusal));
            };
            match frame {
                None => {
                    self.finish();
                    return None;
                }
                Some(Err(cause)) => {
                    self.flow.failure = Some(cause.to_string());
                    self.flow
                        .check_for_crash(&answer.pick, &answer.guard, crash::Sign::Broken);
                    let refusal = self.flow.failed("the answer was not complete");
                    return Some(self.truncate(&refusal));
                }
                Some(Ok(frame)) => {
                    // The server does not poll a body of known length again
                    // after its last byte.
                    if answer.body.is_end_stream() {
                        self.finish();
                    }
                    if let Ok(data) = frame.into_data() {
                        return Some((Ok(data), self));
                    }
                }
            }
        }
    }

    fn finish(&mut self) {
        if let Some(answer) = self.answer.take() {
            self.flow.conclude(exchange::outcome(answer.status));
            self.flow.record_completion(&answer);
            answer.finish(&self.flow.host);
        }
    }

    /// Ends the answer early. The error closes the caller's connection, so the
    /// caller sees that the answer is incomplete.
    fn truncate(mut self, refusal: &answer::Refusal) -> (Result<Bytes, io::Error>, Self) {
        if let Some(answer) = self.answer.take() {
            answer.guard.end(steer::End::Lost);
        }
        self.flow.mark_truncated(refusal);
        (Err(io::Error::other(refusal.message.clone())), self)
    }
}
