use core::time;

use answer::{Kind, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;

use crate::options;

/// Reads a whole request body within the limits of `options`.
///
/// # Errors
///
/// Refuses a body that exceeds the size limit with [`Kind::BodyTooLarge`], a body
/// of which no data arrives for the idle time-out or that is incomplete after the
/// body time-out with [`Kind::CallerTimeout`], and a body that ends early with
/// [`Kind::BadRequest`].
pub(crate) async fn read(
    body: axum::body::Body,
    options: &options::Options,
) -> Result<Bytes, Refusal> {
    let reading = collect(body, options.body_bytes_max, options.idle_timeout);
    match tokio::time::timeout(options.body_timeout, reading).await {
        Ok(body) => body,
        Err(_) => {
            let millis = options.body_timeout.as_millis();
            let text = format!("the request body was not complete within {millis} ms");
            Err(Refusal::new(Kind::CallerTimeout, text))
        }
    }
}

async fn collect(
    body: axum::body::Body,
    limit_bytes: u64,
    idle_timeout: time::Duration,
) -> Result<Bytes, Refusal> {
    let too_large = || {
        let text = format!("the request body exceeds the limit of {limit_bytes} bytes");
        Refusal::new(Kind::BodyTooLarge, text)
    };
    let mut body = body;
    let mut whole = bytes::BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
            Err(_) => {
                let millis = idle_timeout.as_millis();
                let text = format!("no data of the request body arrived for {millis} ms");
                return Err(Refusal::new(Kind::CallerTimeout, text));
            }
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(cause))) => {
                let text = format!("the request body cannot be read: {cause}");
                return Err(Refusal::new(Kind::BadRequest, text));
            }
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (whole.len() + data.len()) as u64 > limit_bytes {
            return Err(too_large());
        }
        whole.extend_from_slice(&data);
    }
}
