//! Read-only page for browsers. The files contain no data and need no key: the script
//! reads the routes with a key that the operator enters.

use axum::http::header;
use axum::response;
use axum::routing;

/// Returns the routes of the page and its files.
pub fn routes<S: Clone + Send + Sync + 'static>() -> axum::Router<S> {
    axum::Router::new()
        .route("/admin/", file("text/html; charset=utf-8", HTML))
        .route(
            "/admin/page.js",
            file("text/javascript; charset=utf-8", SCRIPT),
        )
        .route("/admin/page.css", file("text/css; charset=utf-8", STYLE))
}

fn file<S: Clone + Send + Sync + 'static>(
    kind: &'static str,
    text: &'static str,
) -> routing::MethodRouter<S> {
    routing::get(move || async move { with_headers(kind, text) })
}

fn with_headers(kind: &'static str, text: &'static str) -> impl response::IntoResponse {
    let headers = [
        (header::CONTENT_TYPE, kind),
        (header::CONTENT_SECURITY_POLICY, POLICY),
        (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        (header::REFERRER_POLICY, "no-referrer"),
        (header::CACHE_CONTROL, "no-store"),
    ];
    (headers, text)
}

/// Content security policy that allows only files from this server.
const POLICY: &str = "default-src 'none'; script-src 'self'; style-src 'self'; \
                      connect-src 'self'; frame-ancestors 'none'; base-uri 'none'";

const HTML: &str = include_str!("../page/page.html");
const SCRIPT: &str = include_str!("../page/page.js");
const STYLE: &str = include_str!("../page/page.css");
