use answer::Refusal;
use axum::response::IntoResponse;
use http::header;

use crate::response;

/// Header with the identifier of the request.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Header with the name of the class of the request.
const CLASS: &str = "x-class";
/// Header with the time spent queued in milliseconds.
const QUEUE_MS: &str = "x-queue-ms";

/// Encodes a refusal as an HTTP response, with `id` as `x-request-id`.
pub fn refusal(refusal: &Refusal, id: &str) -> axum::response::Response {
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
    let mut response = (status, axum::Json(body)).into_response();
    let headers = response.headers_mut();
    set(headers, REQUEST_ID, id);
    if let Some(delay) = refusal.retry_after {
        // The header holds whole seconds. The delay is rounded up, because a retry
        // before its end would find the queue still full.
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        set(headers, header::RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}

/// Encodes a refusal as an HTTP response with a new request identifier.
pub(crate) fn refusal_with_new_id(cause: &Refusal) -> axum::response::Response {
    refusal(cause, &new_request_id())
}

/// Returns a new random identifier for a request.
pub(crate) fn new_request_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Encodes a response of the service as an HTTP response.
pub(crate) fn response(source: response::Response, id: &str) -> axum::response::Response {
    let mut response = axum::response::Response::new(source.body);
    *response.status_mut() = source.status;
    let headers = response.headers_mut();
    *headers = source.headers;
    set(headers, REQUEST_ID, id);
    set(headers, CLASS, &source.class);
    let queue_ms = source.queue_time.as_millis().to_string();
    set(headers, QUEUE_MS, &queue_ms);
    response
}

fn set(headers: &mut http::HeaderMap, name: &str, value: &str) {
    let Ok(name) = http::HeaderName::from_bytes(name.as_bytes()) else {
        return;
    };
    if let Ok(value) = http::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
