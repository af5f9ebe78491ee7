use core::time;

use answer::{Kind, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;

use crate::options;

/// Reads a whole request body within its limits.
///
/// # Errors
///
/// Refuses a body above the limit, a caller that is silent for too long or
/// needs too long in all, and a body that ends early.
pub(crate) async fn read(
    body: axum::body::Body,
    options: &options::Options,
) -> Result<Bytes, Refusal> {
    let reading = collect(body, options.body_bytes_max, options.idle_timeout);
    match tokio::time::timeout(options.body_timeout, reading).await {
        Ok(body) => body,
        Err(_) => {
            let millis = options.body_timeout.as_millis();
            let text = format!("no whole body in {millis} ms");
            Err(Refusal::new(Kind::CallerTimeout, text))
        }
    }
}

async fn collect(
    body: axum::body::Body,
    limit: u64,
    idle: time::Duration,
) -> Result<Bytes, Refusal> {
    let above = || {
        let text = format!("the body is above the limit of {limit} bytes");
        Refusal::new(Kind::BodyTooLarge, text)
    };
    let mut body = body;
    let mut whole = bytes::BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(idle, body.frame()).await {
            Err(_) => {
                let text = format!("no data for {} ms", idle.as_millis());
                return Err(Refusal::new(Kind::CallerTimeout, text));
            }
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(cause))) => {
                return Err(Refusal::new(Kind::BadRequest, cause.to_string()));
            }
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (whole.len() + data.len()) as u64 > limit {
            return Err(above());
        }
        whole.extend_from_slice(&data);
    }
}
