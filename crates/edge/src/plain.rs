use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use crate::exchange;
use crate::flow;
use crate::headers;
use crate::incoming;
use crate::remainder;

/// Bytes of an answer that are read before its head is passed on. A spoiled
/// answer of this size or less can still be replaced.
const HELD_BYTES: usize = 256 * 1024;

/// How reading an answer ended.
enum Read {
    Whole(Bytes),
    /// The answer is longer than what may be held.
    Part(Bytes),
    Broken(String),
    Late,
}

/// Serves a request whose answer is one body.
pub(crate) async fn serve(mut flow: flow::Flow) -> exchange::Response {
    loop {
        let mut answer = match flow.next_answer(None).await {
            Ok(answer) => answer,
            Err(refusal) => return exchange::refused(flow, refusal),
        };
        match read(&mut flow, &mut answer).await {
            Read::Whole(body) => return whole(flow, answer, body),
            Read::Part(body) => return remainder::serve(flow, answer, body),
            Read::Late => {
                let refusal = flow.late();
                answer.guard.end(steer::End::Lost);
                return exchange::refused(flow, refusal);
            }
            Read::Broken(cause) => {
                let now = flow.host.clock.now();
                flow.job.note(
                    now,
                    "spoiled",
                    format_args!("endpoint={} cause={cause}", answer.pick.id),
                );
                flow.failure = Some(cause);
                answer.guard.end(steer::End::Lost);
                if !flow.may_run_again() {
                    let refusal = flow.failed("the answer was not complete");
                    return exchange::refused(flow, refusal);
                }
            }
        }
    }
}

async fn read(flow: &mut flow::Flow, answer: &mut incoming::Answer) -> Read {
    answer.guard.first();
    flow.begun();
    let due = tokio::time::Instant::now() + flow.job.left(flow.host.clock.now());
    let mut held = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = answer.body.frame() => frame,
            () = tokio::time::sleep_until(due) => return Read::Late,
        };
        match frame {
            None => return Read::Whole(held.freeze()),
            Some(Err(cause)) => return Read::Broken(cause.to_string()),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    held.extend_from_slice(data);
                }
            }
        }
        if held.len() > HELD_BYTES {
            return Read::Part(held.freeze());
        }
    }
}

fn whole(flow: flow::Flow, answer: incoming::Answer, body: Bytes) -> exchange::Response {
    let status = answer.status;
    let mut headers = answer.finish(&flow.host);
    headers::strip_connection(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    exchange::answered(flow, status, headers, axum::body::Body::from(body))
}
