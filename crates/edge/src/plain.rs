use core::future;
use core::task;

use bytes::Bytes;
use tokio::time::Instant;

use crate::crash;
use crate::exchange;
use crate::flow;
use crate::headers;
use crate::incoming;
use crate::partial;
use crate::remainder;

/// A request whose answer is a single body rather than a stream of events.
struct Plain {
    flow: flow::Flow,
    /// Answers that have begun. The first one that is complete is passed on.
    answers: Vec<partial::Answer>,
}

/// Change of the answers.
enum Turn {
    /// The answer at this place of the list was read, or broke.
    Read(usize, partial::Read),
    /// Another endpoint answered, or no attempt is left.
    Found(Result<Box<incoming::Answer>, answer::Refusal>),
    /// The deadline has passed.
    Late,
}

/// Serves a request whose answer is a single body rather than a stream of
/// events.
pub(crate) async fn serve(flow: flow::Flow) -> exchange::Response {
    let mut plain = Plain {
        flow,
        answers: Vec::new(),
    };
    loop {
        match plain.turn().await {
            Turn::Found(Ok(answer))
                if answer.status.is_server_error() && !plain.answers.is_empty() =>
            {
                plain.flow.fallback = Some(answer);
            }
            Turn::Found(Ok(mut answer)) => {
                let service = &plain.flow.job.service;
                answer
                    .guard
                    .record_first_event(service, answer.pick.wait_ms);
                plain.flow.record_first_event();
                plain.answers.push(partial::Answer::new(*answer));
            }
            Turn::Found(Err(refusal)) if plain.answers.is_empty() => {
                return exchange::refused(plain.flow, refusal);
            }
            Turn::Found(Err(_)) => {}
            Turn::Read(index, partial::Read::Whole(body)) => {
                let (flow, answer) = plain.commit(index);
                return whole(flow, answer, body);
            }
            Turn::Read(index, partial::Read::Part(body)) => {
                let (flow, answer) = plain.commit(index);
                return remainder::serve(flow, answer, body);
            }
            Turn::Read(index, partial::Read::Broken(cause)) => {
                if let Some(refusal) = plain.record_lost(index, cause) {
                    return exchange::refused(plain.flow, refusal);
                }
            }
            Turn::Late => {
                if let Some(refusal) = plain.time_out() {
                    return exchange::refused(plain.flow, refusal);
                }
            }
        }
    }
}

impl Plain {
    async fn turn(&mut self) -> Turn {
        let due = Instant::now() + self.flow.job.left(self.flow.host.clock.now());
        let is_asking = self.answers.is_empty() || !self.flow.open.is_empty();
        tokio::select! {
            biased;
            (index, read) = next_read(&mut self.answers) => Turn::Read(index, read),
            found = self.flow.next_answer(None), if is_asking => {
                Turn::Found(found.map(Box::new))
            }
            () = tokio::time::sleep_until(due), if !is_asking => Turn::Late,
        }
    }

    /// Ends all attempts but the one whose answer is passed on.
    fn commit(mut self, index: usize) -> (flow::Flow, incoming::Answer) {
        let answer = self.answers.swap_remove(index).incoming;
        for other in self.answers {
            if other.incoming.number < answer.number {
                other.incoming.guard.end(steer::End::Lost);
            }
        }
        self.flow.commit(answer.number);
        (self.flow, answer)
    }

    /// Records that an answer broke. Returns the refusal if nothing can replace it.
    fn record_lost(&mut self, index: usize, cause: String) -> Option<answer::Refusal> {
        let now = self.flow.host.clock.now();
        let answer = self.answers.remove(index).incoming;
        let inputs = format_args!("endpoint={} cause={cause}", answer.pick.id);
        self.flow.job.log_step(now, "spoiled", inputs);
        self.flow.failure = Some(cause);
        self.flow
            .check_for_crash(&answer.pick, &answer.guard, crash::Sign::Broken);
        answer.guard.end(steer::End::Lost);
        let is_last = self.answers.is_empty() && self.flow.open.is_empty();
        if !is_last || self.flow.may_retry() || self.use_fallback() {
            return None;
        }
        Some(self.flow.failed("the answer was not complete"))
    }

    /// Returns the refusal unless there is a failure of an endpoint to pass on.
    fn time_out(&mut self) -> Option<answer::Refusal> {
        for answer in self.answers.drain(..) {
            let answer = answer.incoming;
            self.flow
                .check_for_crash(&answer.pick, &answer.guard, crash::Sign::Silent);
            answer.guard.end(steer::End::Lost);
        }
        (!self.use_fallback()).then(|| self.flow.timed_out())
    }

    /// Makes the failure of an endpoint, if there is one, the only answer.
    fn use_fallback(&mut self) -> bool {
        let fallback = self.flow.fallback.take();
        let is_used = fallback.is_some();
        self.answers
            .extend(fallback.map(|answer| partial::Answer::new(*answer)));
        is_used
    }
}

/// Waits until an answer was read, and returns its place in the list.
///
/// It never returns if the list is empty. Cancelling it loses nothing.
async fn next_read(answers: &mut [partial::Answer]) -> (usize, partial::Read) {
    future::poll_fn(|context| {
        for (index, answer) in answers.iter_mut().enumerate() {
            if let task::Poll::Ready(read) = answer.poll_read(context) {
                return task::Poll::Ready((index, read));
            }
        }
        task::Poll::Pending
    })
    .await
}

fn whole(flow: flow::Flow, answer: incoming::Answer, body: Bytes) -> exchange::Response {
    let status = answer.status;
    flow.record_completion(&answer);
    let mut headers = answer.finish(&flow.host);
    headers::strip_connection(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    exchange::answered(flow, status, headers, axum::body::Body::from(body))
}
