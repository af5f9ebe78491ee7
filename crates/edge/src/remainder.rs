use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time;

use crate::exchange;
use crate::flow;
use crate::headers;
use crate::incoming;

/// An answer that is too long to be held, on its way to the caller.
struct Remainder {
    flow: flow::Flow,
    /// Nothing once the answer has ended.
    answer: Option<incoming::Answer>,
    /// What was read before the head was passed on.
    begun: Option<Bytes>,
}

/// Passes on an answer of which only the beginning has arrived.
pub(crate) fn serve(
    flow: flow::Flow,
    answer: incoming::Answer,
    begun: Bytes,
) -> exchange::Response {
    let status = answer.status;
    let mut headers = answer.headers.clone();
    headers::strip_connection(&mut headers);
    let remainder = Remainder {
        flow,
        answer: Some(answer),
        begun: Some(begun),
    };
    let body = futures_util::stream::unfold(remainder, Remainder::step);
    exchange::streamed(status, headers, axum::body::Body::from_stream(body))
}

impl Remainder {
    async fn step(mut self) -> Option<(Result<Bytes, io::Error>, Self)> {
        if let Some(begun) = self.begun.take() {
            return Some((Ok(begun), self));
        }
        let left = self.flow.job.left(self.flow.host.clock.now());
        loop {
            let answer = self.answer.as_mut()?;
            let Ok(frame) = time::timeout(left, answer.body.frame()).await else {
                let refusal = self.flow.late();
                return Some(self.cut(&refusal));
            };
            match frame {
                None => {
                    self.finish();
                    return None;
                }
                Some(Err(cause)) => {
                    self.flow.failure = Some(cause.to_string());
                    let refusal = self.flow.failed("the answer was not complete");
                    return Some(self.cut(&refusal));
                }
                Some(Ok(frame)) => {
                    // A body of known length is not asked for its end.
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
            answer.finish(&self.flow.host);
        }
    }

    /// Ends the answer early. The error closes the caller's connection, so that
    /// the answer does not look complete.
    fn cut(mut self, refusal: &answer::Refusal) -> (Result<Bytes, io::Error>, Self) {
        if let Some(answer) = self.answer.take() {
            answer.guard.end(steer::End::Lost);
        }
        self.flow.cut(refusal);
        (Err(io::Error::other(refusal.message.clone())), self)
    }
}
