use bytes::Bytes;

use crate::shard;

/// Header with the fencing number of the home host that granted the slot.
const FENCE: &str = "x-fencing-number";

/// Builds the request that is sent to an endpoint.
///
/// # Errors
///
/// Fails if the caller's path is not a valid URI path.
pub(crate) fn build(
    request: &front::Request,
    grant: &shard::Grant,
    tier: u8,
) -> Result<http::Request<http_body_util::Full<Bytes>>, http::Error> {
    let path = request.target.endpoint_path();
    let body = match &request.target {
        front::Target::Model { .. } => with_priority(&request.body, tier),
        front::Target::Service { .. } => request.body.clone(),
    };
    let mut built = http::Request::builder()
        .method(request.method.clone())
        .uri(format!("http://{}{path}", grant.address))
        .body(http_body_util::Full::new(body))?;
    *built.headers_mut() = request.headers.clone();
    let headers = built.headers_mut();
    headers.insert(FENCE, grant.fence.into());
    if let Ok(id) = http::HeaderValue::from_str(&request.id) {
        headers.insert("x-request-id", id);
    }
    if let Some(key) = &request.idempotency_key
        && let Ok(key) = http::HeaderValue::from_str(key)
    {
        headers.insert("idempotency-key", key);
    }
    Ok(built)
}

/// Sets the `priority` field of a JSON object and replaces a value of the caller.
///
/// A body without the field is extended at its end, without parsing it.
fn with_priority(body: &Bytes, tier: u8) -> Bytes {
    let has_own = body
        .windows(PRIORITY.len())
        .any(|window| window == PRIORITY.as_bytes());
    if has_own {
        return rewritten(body, tier);
    }
    let Some(end) = body.iter().rposition(|&byte| byte == b'}') else {
        return body.clone();
    };
    let mut out = bytes::BytesMut::with_capacity(body.len() + 16);
    out.extend_from_slice(&body[..end]);
    out.extend_from_slice(format!(",{PRIORITY}:{tier}}}").as_bytes());
    out.freeze()
}

const PRIORITY: &str = "\"priority\"";

fn rewritten(body: &Bytes, tier: u8) -> Bytes {
    let parsed = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(body);
    let Ok(mut object) = parsed else {
        return body.clone();
    };
    object.insert("priority".to_owned(), tier.into());
    serde_json::to_vec(&object).map_or_else(|_| body.clone(), Bytes::from)
}
