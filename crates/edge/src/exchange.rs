use crate::flow;
use crate::reply;

pub(crate) type Response = http::Response<axum::body::Body>;

/// Ends a request with a refusal and returns the answer for the caller.
pub(crate) fn refused(mut flow: flow::Flow, refusal: answer::Refusal) -> Response {
    let now = flow.host.clock.now();
    let entry = refusal.kind.entry();
    flow.job.log_step(
        now,
        "refused",
        format_args!("status={} {}", entry.status, refusal.message),
    );
    flow.conclude(entry.name);
    reply::refusal(&refusal)
}

/// Ends a request with a complete answer of an endpoint.
pub(crate) fn answered(
    mut flow: flow::Flow,
    status: http::StatusCode,
    headers: http::HeaderMap,
    body: axum::body::Body,
) -> Response {
    flow.conclude(outcome(status));
    streamed(status, headers, body)
}

/// Returns the outcome under which a complete answer is logged and counted.
pub(crate) fn outcome(status: http::StatusCode) -> &'static str {
    if status.is_success() {
        "served"
    } else {
        "endpoint_failure"
    }
}

/// Returns an endpoint's answer whose body sets the outcome when it ends.
pub(crate) fn streamed(
    status: http::StatusCode,
    headers: http::HeaderMap,
    body: axum::body::Body,
) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
