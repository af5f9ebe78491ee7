use core::time;

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::permit;

/// Longest silence of an endpoint in the middle of an answer.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Why an answer could not be read to its end.
#[derive(Debug)]
pub(crate) struct Cut(pub(crate) String);

/// Reads the next piece of data of an endpoint's answer.
///
/// # Errors
///
/// Fails if the connection breaks or the endpoint is silent for too long.
pub(crate) async fn next(body: &mut back::Body) -> Result<Option<Bytes>, Cut> {
    loop {
        let frame = match tokio::time::timeout(STALL_TIMEOUT, body.frame()).await {
            Err(_) => return Err(Cut("the endpoint stopped sending".to_owned())),
            Ok(None) => return Ok(None),
            Ok(Some(Err(cause))) => return Err(Cut(cause.to_string())),
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
/// Fails if the connection breaks, the endpoint is silent for too long or the
/// answer is above `limit` bytes.
pub(crate) async fn whole(mut body: back::Body, limit: usize) -> Result<Bytes, Cut> {
    let mut all = bytes::BytesMut::new();
    while let Some(data) = next(&mut body).await? {
        if all.len() + data.len() > limit {
            return Err(Cut(format!("the answer is above {limit} bytes")));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}

struct Stream {
    permit: permit::Permit,
    body: back::Body,
    tally: back::Tally,
    first: Option<Bytes>,
    request: String,
}

/// Passes on an event stream whose first data was read, and reports its end.
///
/// A stream that ends without its final event gets an error event and is cut,
/// so that a caller never takes it for a whole answer.
pub(crate) fn events(
    permit: permit::Permit,
    body: back::Body,
    first: Bytes,
    request: String,
) -> front::Body {
    let stream = Stream {
        permit,
        body,
        tally: back::Tally::default(),
        first: Some(first),
        request,
    };
    front::Body::from_stream(futures_util::stream::unfold(Some(stream), step))
}

type Item = Result<Bytes, std::io::Error>;

async fn step(stream: Option<Stream>) -> Option<(Item, Option<Stream>)> {
    let mut stream = stream?;
    let read = match stream.first.take() {
        Some(first) => Ok(Some(first)),
        None => next(&mut stream.body).await,
    };
    match read {
        Ok(Some(data)) => {
            stream.tally.push(&data);
            stream.permit.set_tokens(stream.tally.tokens());
            Some((Ok(data), Some(stream)))
        }
        Ok(None) if stream.tally.is_done() => {
            stream.permit.finish(pool::Result::Complete);
            None
        }
        Ok(None) => Some(fail(stream, "the endpoint closed the stream early")),
        Err(Cut(cause)) => Some(fail(stream, &cause)),
    }
}

fn fail(stream: Stream, cause: &str) -> (Item, Option<Stream>) {
    log::warn!(target: "host", "request {} cut after {} tokens: {cause}", stream.request, stream.tally.tokens());
    stream.permit.finish(pool::Result::Failed);
    let entry = answer::Kind::EndpointFailed.entry();
    let event = serde_json::json!({
        "error": { "kind": entry.name, "message": cause, "run_state": entry.run.name() }
    });
    (Ok(Bytes::from(format!("data: {event}\n\n"))), None)
}
