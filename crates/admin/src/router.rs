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
type Answer = Result<response::Response, failure::Failure>;
type Order = Result<axum::Json<drain::Drain>, rejection::JsonRejection>;
type Query = extract::Query<collections::HashMap<String, String>>;

/// Returns the routes of the administration API.
pub fn router(source: Shared) -> axum::Router {
    let mut router = page::routes();
    for route in route::Route::ALL {
        router = router.route(route.path(), handler(route, &source));
    }
    router
        .fallback(|| async {
            failure::Failure::new(answer::Kind::NotFound, "there is no such path")
        })
        .layer(extract::DefaultBodyLimit::max(BODY_MAX))
        .with_state(source)
}

/// Returns the handler of a route behind the check of its role.
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
        failure::Failure::new(answer::Kind::BadMethod, "the path has another method")
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

/// Checks the bearer key of a request.
fn check(
    source: &dyn source::Source,
    needed: role::Role,
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
        Some(role) if role >= needed => return Ok(()),
        Some(_) => "the key may read but not operate",
        None => "a known bearer key is needed",
    };
    Err(failure::Failure::new(answer::Kind::UnknownKey, message))
}

async fn requests(state: State, query: Query) -> Answer {
    let limit = match query.get("limit").map(|limit| limit.parse::<usize>()) {
        None => LIMIT_DEFAULT,
        Some(Ok(limit)) if (1..=LIMIT_MAX).contains(&limit) => limit,
        Some(_) => return Err(bad("limit must be a number from 1 to 1000")),
    };
    json(&serde_json::json!({ "requests": state.requests(limit) }))
}

async fn explain(state: State, query: Query) -> Answer {
    let request = query
        .get("request")
        .ok_or_else(|| bad("the parameter request is missing"))?;
    let explanation = state.explain(request).ok_or_else(|| {
        let message = "no decisions are kept about this request on this host";
        failure::Failure::new(answer::Kind::NotFound, message)
    })?;
    json(&explanation)
}

async fn drain(state: State, order: Order) -> Answer {
    let order = parse(order)?;
    let drained = state.drain(&order).map_err(failure::Failure)?;
    log::info!(target: "admin", "admin: drained {:?} {:?}", drained.target, drained.name);
    json(&drained)
}

async fn undrain(state: State, order: Order) -> Answer {
    let order = parse(order)?;
    let drained = state.undrain(&order).map_err(failure::Failure)?;
    log::info!(target: "admin", "admin: took back {:?} {:?}", drained.target, drained.name);
    json(&drained)
}

fn parse(order: Order) -> Result<drain::Drain, failure::Failure> {
    match order {
        Ok(axum::Json(order)) => Ok(order),
        Err(error) if error.status() == http::StatusCode::PAYLOAD_TOO_LARGE => Err(
            failure::Failure::new(answer::Kind::BodyTooLarge, "the body is too large"),
        ),
        Err(error) => Err(bad(&error.body_text())),
    }
}

fn bad(message: &str) -> failure::Failure {
    failure::Failure::new(answer::Kind::BadRequest, message)
}

fn json(value: &impl serde::Serialize) -> Answer {
    let text = serde_json::to_vec(value).map_err(|error| {
        log::error!(target: "admin", "admin: an answer cannot be encoded: {error}");
        failure::Failure::new(answer::Kind::Internal, "the answer cannot be encoded")
    })?;
    let headers = [
        (header::CONTENT_TYPE, "application/json"),
        (header::CACHE_CONTROL, "no-store"),
    ];
    Ok((headers, body::Body::from(text)).into_response())
}

/// Upper bound of a body in bytes.
const BODY_MAX: usize = 16 * 1024;

/// Requests listed without the parameter `limit`.
const LIMIT_DEFAULT: usize = 100;

/// Upper bound of the parameter `limit`.
const LIMIT_MAX: usize = 1_000;

const OPENAPI: &str = include_str!("../openapi.json");
