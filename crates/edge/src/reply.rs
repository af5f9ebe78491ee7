use core::time;

use http::header;

/// Converts a refusal into an HTTP answer with a JSON body and, if the caller
/// should retry, a `Retry-After` header.
pub fn refusal(refusal: &answer::Refusal) -> http::Response<axum::body::Body> {
    let entry = refusal.kind.entry();
    let status =
        http::StatusCode::from_u16(entry.status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::json!({
        "error": {
            "kind": entry.name,
            "message": refusal.message,
            "run_state": entry.run_state.name(),
        }
    });
    let mut response = http::Response::new(axum::body::Body::from(body.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(delay) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, seconds(delay));
    }
    response
}

/// Formats a delay in seconds with three decimals.
fn seconds(delay: time::Duration) -> http::HeaderValue {
    http::HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()))
        .unwrap_or_else(|_| http::HeaderValue::from_static("1"))
}
