use axum::body;
use axum::extract;
use axum::extract::rejection;
use axum::http;
use axum::http::header;
use axum::middleware;
use axum::response::{self, IntoResponse};
use axum::routing;
use std::collections;
use std::sync;

use crate::drain;
use crate::failure;
use crate::page;
use crate::role;
use crate::route;
use crate::source;

type Shared = sync::Arc<dyn source::Source>;
type Outcome = Result<response::Response, failure::Failure>;
type Body = Result<axum::Json<drain::Drain>, rejection::JsonRejection>;
type Query = extract::Query<collections::HashMap<String, String>>;

/// Returns the routes of the administration API and of its page.
pub fn router(source: Shared) -> axum::Router {
    let mut router = page::routes();
    for route in route::Route::ALL {
        router = router.route(route.path(), handler(route, &source));
    }
    router
        .fallback(|| async { failure::Failure::new(answer::Kind::NotFound, "no such path") })
        .layer(extract::DefaultBodyLimit::max(BODY_MAX_BYTES))
        .with_state(source)
}

/// Returns the handler of a route, preceded by the check of the key's role.
fn handler(route: route::Route, source: &Shared) -> routing::MethodRouter<Shared> {
    let methods = match route {
        route::Route::Status => routing::get(|state: State| async move { json(&state.status()) }),
        route::Route::Settings => {
            routing::get(|state: State| async move { json(&state.settings()) })
        }
        route::Route::Hosts => routing::get(|state: State| async move {
            json(&serde_json::json!({ "hosts": state.hosts() }))
        }),
        route::Route::Endpoints => routing::get(|state: State| async move {
            json(&serde_json::json!({ "endpoints": state.endpoints() }))
        }),
        route::Route::Classes => routing::get(|state: State| async move {
            json(&serde_json::json!({ "classes": state.classes() }))
        }),
        route::Route::Teams => routing::get(|state: State| async move {
            json(&serde_json::json!({ "teams": state.teams() }))
        }),
        route::Route::Requests => routing::get(requests),
        route::Route::Explain => routing::get(explain),
        route::Route::Burn => routing::get(|state: State| async move { json(&state.burn()) }),
        route::Route::Drain => routing::post(drain),
        route::Route::Undrain => routing::post(undrain),
        route::Route::Openapi => {
            routing::get(|| async { ([(header::CONTENT_TYPE, "application/json")], OPENAPI) })
        }
    };
    let methods = methods.fallback(|| async {
        failure::Failure::new(
            answer::Kind::BadMethod,
            "the path does not support this method",
        )
    });
    let Some(role) = route.role() else {
        return methods;
    };
    let source = source.clone();
    methods.layer(middleware::from_fn(
        move |request: extract::Request, next: middleware::Next| {
            let allowed = check(&*source, role, request.headers());
            async move {
                match allowed {
                    Ok(()) => next.run(request).await,
                    Err(failure) => failure.into_response(),
                }
            }
        },
    ))
}

type State = extract::State<Shared>;

/// Checks that the bearer key of a request has the required role.
///
/// # Errors
///
/// Returns [`answer::Kind::UnknownKey`] if the key is missing, unknown or of a lower
/// role.
fn check(
    source: &dyn source::Source,
    required: role::Role,
    headers: &http::HeaderMap,
) -> Result<(), failure::Failure> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().split_first_chunk())
        .and_then(|(scheme, key): (&[u8; 7], _)| {
            scheme.eq_ignore_ascii_case(b"bearer ").then_some(key)
        });
    let role = key.and_then(|key| source.keys().role(key));
    let message = match role {
        Some(role) if role >= required => return Ok(()),
        Some(_) => "the key has the role read, but the route requires the role operate",
        None => "a valid bearer key is required",
    };
    Err(failure::Failure::new(answer::Kind::UnknownKey, message))
}

async fn requests(state: State, query: Query) -> Outcome {
    let limit = match query.get("limit").map(|limit| limit.parse::<usize>()) {
        None => LIMIT_DEFAULT,
        Some(Ok(limit)) if (1..=LIMIT_MAX).contains(&limit) => limit,
        Some(_) => return Err(bad("limit must be a number from 1 to 1000")),
    };
    json(&serde_json::json!({ "requests": state.requests(limit) }))
}

async fn explain(state: State, query: Query) -> Outcome {
    let request = query
        .get("request")
        .ok_or_else(|| bad("the parameter request is missing"))?;
    let explanation = state.explain(request).ok_or_else(|| {
        let message = "this host has no decisions about this request";
        failure::Failure::new(answer::Kind::NotFound, message)
    })?;
    json(&explanation)
}

async fn drain(state: State, body: Body) -> Outcome {
    let request = parse(body)?;
    let drained = state.drain(&request).map_err(failure::Failure)?;
    log::info!(target: "admin", "admin: started to drain {:?} {:?}", drained.target, drained.name);
    json(&drained)
}

async fn undrain(state: State, body: Body) -> Outcome {
    let request = parse(body)?;
    let drained = state.undrain(&request).map_err(failure::Failure)?;
    log::info!(target: "admin", "admin: returned {:?} {:?} to service", drained.target, drained.name);
    json(&drained)
}

fn parse(body: Body) -> Result<drain::Drain, failure::Failure> {
    match body {
        Ok(axum::Json(request)) => Ok(request),
        Err(error) if error.status() == http::StatusCode::PAYLOAD_TOO_LARGE => {
            Err(failure::Failure(body_too_large()))
        }
        Err(error) => Err(bad(&error.body_text())),
    }
}

/// Returns the refusal of a request whose body exceeds [`BODY_MAX_BYTES`].
pub fn body_too_large() -> answer::Refusal {
    let message = format!("the body exceeds {BODY_MAX_BYTES} bytes");
    answer::Refusal::new(answer::Kind::BodyTooLarge, message)
}

fn bad(message: &str) -> failure::Failure {
    failure::Failure::new(answer::Kind::BadRequest, message)
}

fn json(value: &impl serde::Serialize) -> Outcome {
    let text = serde_json::to_vec(value).map_err(|error| {
        log::error!(target: "admin", "admin: cannot encode a response as JSON: {error}");
        failure::Failure::new(answer::Kind::Internal, "the response cannot be encoded")
    })?;
    let headers = [
        (header::CONTENT_TYPE, "application/json"),
        (header::CACHE_CONTROL, "no-store"),
    ];
    Ok((headers, body::Body::from(text)).into_response())
}

/// Maximum size of a request body.
pub const BODY_MAX_BYTES: usize = 16 * 1024;

/// Number of requests listed without the parameter `limit`.
const LIMIT_DEFAULT: usize = 100;

/// Maximum value of the parameter `limit`.
const LIMIT_MAX: usize = 1_000;

const OPENAPI: &str = include_str!("../openapi.json");
