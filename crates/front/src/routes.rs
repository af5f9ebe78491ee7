use std::net;
use std::sync;

use answer::{Kind, Refusal};
use axum::extract;
use axum::response::IntoResponse;
use axum::routing;

use crate::body;
use crate::encode;
use crate::fingerprint;
use crate::options;
use crate::parse;
use crate::request;
use crate::service;

/// Address of the caller, attached to each request as an extension.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Remote(pub(crate) net::SocketAddr);

#[derive(Clone)]
pub(crate) struct State {
    pub(crate) service: sync::Arc<dyn service::Service>,
    pub(crate) options: sync::Arc<options::Options>,
}

/// Builds the routes of the HTTP interface for callers.
pub(crate) fn build(state: State) -> axum::Router {
    axum::Router::new()
        .route(request::MODEL_PATHS[0], routing::post(chat))
        .route(request::MODEL_PATHS[1], routing::post(completions))
        .route("/v1/models", routing::get(models))
        .route("/v1/hosts", routing::get(hosts))
        .route("/services/{name}/{*path}", routing::any(service))
        .fallback(not_found)
        .method_not_allowed_fallback(bad_method)
        .with_state(state)
}

async fn models(extract::State(state): extract::State<State>) -> axum::response::Response {
    axum::Json(state.service.models()).into_response()
}

async fn hosts(
    extract::State(state): extract::State<State>,
    extract::Extension(remote): extract::Extension<Remote>,
) -> axum::response::Response {
    axum::Json(state.service.hosts(remote.0.ip())).into_response()
}

async fn not_found() -> axum::response::Response {
    encode::refusal_with_new_id(&Refusal::new(Kind::NotFound, "no such path"))
}

async fn bad_method() -> axum::response::Response {
    let refusal = Refusal::new(Kind::BadMethod, "the path does not support this method");
    encode::refusal_with_new_id(&refusal)
}

async fn chat(
    extract::State(state): extract::State<State>,
    extract::Extension(remote): extract::Extension<Remote>,
    request: extract::Request,
) -> axum::response::Response {
    model(state, remote, request, request::MODEL_PATHS[0]).await
}

async fn completions(
    extract::State(state): extract::State<State>,
    extract::Extension(remote): extract::Extension<Remote>,
    request: extract::Request,
) -> axum::response::Response {
    model(state, remote, request, request::MODEL_PATHS[1]).await
}

async fn model(
    state: State,
    remote: Remote,
    request: extract::Request,
    path: &'static str,
) -> axum::response::Response {
    let id = encode::new_request_id();
    let outcome = match read_model(&state, remote, request, path, &id).await {
        Ok(request) => state.service.serve(request).await,
        Err(refusal) => Err(refusal),
    };
    finish(outcome, &id)
}

async fn read_model(
    state: &State,
    remote: Remote,
    request: extract::Request,
    path: &'static str,
    id: &str,
) -> Result<request::Request, Refusal> {
    let (parts, unread_body) = request.into_parts();
    let head = parse::head(&parts.headers)?;
    let body = body::read(unread_body, &state.options, remote.0.ip()).await?;
    let completion = parse::completion(&body)?;
    let target = request::Target::Model {
        path,
        model: completion.model,
    };
    Ok(request::Request {
        is_stream: completion.is_stream,
        max_tokens: completion.max_tokens,
        prompt_tokens: completion.prompt_tokens,
        prefix_hash: completion.prefix_hash,
        ..base_request(id, remote, target, parts.method, head, body)
    })
}

/// Returns a request without the values that come from the body of a model
/// request.
fn base_request(
    id: &str,
    remote: Remote,
    target: request::Target,
    method: http::Method,
    head: parse::Head,
    body: bytes::Bytes,
) -> request::Request {
    request::Request {
        id: id.to_owned(),
        address: remote.0.ip(),
        fingerprint: fingerprint::fingerprint(&target, head.bearer.as_deref(), &body),
        bearer: head.bearer,
        target,
        method,
        headers: head.forwarded,
        body,
        is_stream: false,
        max_tokens: None,
        prompt_tokens: 0,
        prefix_hash: 0,
        deadline: head.deadline,
        idempotency_key: head.idempotency_key,
        request_time_ms: head.request_time_ms,
        is_idempotent: head.is_idempotent,
    }
}

async fn service(
    extract::State(state): extract::State<State>,
    extract::Extension(remote): extract::Extension<Remote>,
    request: extract::Request,
) -> axum::response::Response {
    let id = encode::new_request_id();
    let outcome = match read_service(&state, remote, request, &id).await {
        Ok(request) => state.service.serve(request).await,
        Err(refusal) => Err(refusal),
    };
    finish(outcome, &id)
}

async fn read_service(
    state: &State,
    remote: Remote,
    request: extract::Request,
    id: &str,
) -> Result<request::Request, Refusal> {
    let (parts, unread_body) = request.into_parts();
    let target = parse::target(&parts.uri)?;
    let head = parse::head(&parts.headers)?;
    let body = body::read(unread_body, &state.options, remote.0.ip()).await?;
    Ok(base_request(id, remote, target, parts.method, head, body))
}

/// Encodes the outcome of a request, and logs it if it is a refusal.
fn finish(outcome: Result<crate::Response, Refusal>, id: &str) -> axum::response::Response {
    match outcome {
        Ok(response) => encode::response(response, id),
        Err(refusal) => {
            let level = refusal.kind.entry().level;
            log::log!(
                target: "front",
                level,
                "request {id} refused: {} ({}): {}",
                refusal.kind,
                refusal.run_state(),
                refusal.message
            );
            encode::refusal(&refusal, id)
        }
    }
}
