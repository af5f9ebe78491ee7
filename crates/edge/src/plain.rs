use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use crate::crash;
use crate::exchange;
use crate::flow;
use crate::headers;
use crate::incoming;
use crate::remainder;

/// Bytes of an answer that are buffered before its head is passed on. A broken
/// answer of up to this size can still be replaced by a retry.
const BUFFER_MAX_BYTES: usize = 256 * 1024;

/// Result of reading an answer.
enum Read {
    Whole(Bytes),
    /// The answer exceeds the buffer; this is its beginning.
    Part(Bytes),
    Broken(String),
    Late,
}

/// Serves a request whose answer is a single body rather than a stream of
/// events.
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
                let refusal = flow.timed_out();
                flow.check_for_crash(&answer.pick, crash::Sign::Silent);
                answer.guard.end(steer::End::Lost);
                return exchange::refused(flow, refusal);
            }
            Read::Broken(cause) => {
                let now = flow.host.clock.now();
                flow.job.log_step(
                    now,
                    "spoiled",
                    format_args!("endpoint={} cause={cause}", answer.pick.id),
                );
                flow.failure = Some(cause);
                flow.check_for_crash(&answer.pick, crash::Sign::Broken);
                answer.guard.end(steer::End::Lost);
                if !flow.may_retry() {
                    let refusal = flow.failed("the answer was not complete");
                    return exchange::refused(flow, refusal);
                }
            }
        }
    }
}

async fn read(flow: &mut flow::Flow, answer: &mut incoming::Answer) -> Read {
    answer.guard.record_first_event();
    flow.record_first_event();
    let due = tokio::time::Instant::now() + flow.job.left(flow.host.clock.now());
    let mut buffer = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = answer.body.frame() => frame,
            () = tokio::time::sleep_until(due) => return Read::Late,
        };
        match frame {
            None => return Read::Whole(buffer.freeze()),
            Some(Err(cause)) => return Read::Broken(cause.to_string()),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buffer.extend_from_slice(data);
                }
            }
        }
        if buffer.len() > BUFFER_MAX_BYTES {
            return Read::Part(buffer.freeze());
        }
    }
}

fn whole(flow: flow::Flow, answer: incoming::Answer, body: Bytes) -> exchange::Response {
    let status = answer.status;
    flow.record_completion(&answer);
    let mut headers = answer.finish(&flow.host);
    headers::strip_connection(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    exchange::answered(flow, status, headers, axum::body::Body::from(body))
}
