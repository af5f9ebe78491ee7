use crate::flow;
use crate::reply;

pub(crate) type Response = http::Response<axum::body::Body>;

/// Returns the answer of a request that is given up.
pub(crate) fn refused(mut flow: flow::Flow, refusal: answer::Refusal) -> Response {
    let now = flow.host.clock.now();
    let entry = refusal.kind.entry();
    flow.job.note(
        now,
        "refused",
        format_args!("status={} {}", entry.status, refusal.message),
    );
    flow.conclude(entry.name);
    reply::refusal(&refusal)
}

/// Returns an endpoint's answer.
pub(crate) fn answered(
    mut flow: flow::Flow,
    status: http::StatusCode,
    headers: http::HeaderMap,
    body: axum::body::Body,
) -> Response {
    flow.conclude(outcome(status));
    streamed(status, headers, body)
}

/// Returns how a request ends with a whole answer of an endpoint.
pub(crate) fn outcome(status: http::StatusCode) -> &'static str {
    if status.is_success() {
        "served"
    } else {
        "endpoint_failure"
    }
}

/// Returns an endpoint's answer whose body ends the request.
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
