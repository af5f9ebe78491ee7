use axum::http;
use axum::response;

/// Error response to an administration request, a JSON object like those of the
/// front.
#[derive(Clone, Debug)]
pub struct Failure(pub answer::Refusal);

impl Failure {
    /// Creates an error response of a kind.
    pub fn new(kind: answer::Kind, message: &str) -> Self {
        Self(answer::Refusal::new(kind, message))
    }
}

impl response::IntoResponse for Failure {
    fn into_response(self) -> response::Response {
        let refusal = self.0;
        let entry = refusal.kind.entry();
        let status =
            http::StatusCode::from_u16(entry.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
        let body = serde_json::json!({
            "error": {
                "kind": entry.name,
                "message": refusal.message,
                "run_state": refusal.run_state().name(),
            }
        });
        let mut response = (status, axum::Json(body)).into_response();
        if let Some(delay) = refusal.retry_after {
            let seconds = delay.as_millis().div_ceil(1_000).max(1) as u64;
            response
                .headers_mut()
                .insert(http::header::RETRY_AFTER, seconds.into());
        }
        if status == http::StatusCode::UNAUTHORIZED {
            let value = http::HeaderValue::from_static("Bearer");
            response
                .headers_mut()
                .insert(http::header::WWW_AUTHENTICATE, value);
        }
        response
    }
}
