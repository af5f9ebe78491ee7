//! Guards against routes that do not check the key, an OpenAPI description that
//! differs from the routes and responses, and keys that stay valid after they were
//! replaced.

mod support;

use axum::http;
use serde_json::Value;
use support::{Fixture, call, get, post};

fn description() -> Value {
    serde_json::from_str(include_str!("../openapi.json")).expect("JSON")
}

fn method(route: admin::Route) -> &'static str {
    match route.method() {
        admin::Method::Get => "get",
        admin::Method::Post => "post",
    }
}

#[test]
fn the_description_lists_exactly_the_routes() {
    let description = description();
    let paths = description["paths"].as_object().expect("paths");
    let mut described: Vec<(String, String)> = Vec::new();
    for (path, methods) in paths {
        for method in methods.as_object().expect("methods").keys() {
            described.push((path.clone(), method.clone()));
        }
    }
    let mut routes: Vec<(String, String)> = admin::Route::ALL
        .iter()
        .map(|&route| (route.path().to_owned(), method(route).to_owned()))
        .collect();
    described.sort();
    routes.sort();
    assert_eq!(described, routes);
    for route in admin::Route::ALL {
        let security = &paths[route.path()][method(route)]["security"];
        let expected = match route.role() {
            None => serde_json::json!([]),
            Some(admin::Role::Read) => serde_json::json!([{ "read": [] }]),
            Some(admin::Role::Operate) => serde_json::json!([{ "operate": [] }]),
        };
        assert_eq!(security, &expected, "{}", route.path());
    }
}

/// Compares the members of a response with those of its schema.
fn check(description: &Value, schema: &Value, value: &Value, at: &str) {
    if let Some(name) = schema["$ref"].as_str() {
        let name = name.rsplit('/').next().expect("name");
        return check(
            description,
            &description["components"]["schemas"][name],
            value,
            at,
        );
    }
    if let Some(options) = schema["anyOf"].as_array() {
        if !value.is_null() {
            check(description, &options[0], value, at);
        }
        return;
    }
    if let Some(members) = schema["properties"].as_object() {
        let given = value.as_object().expect(at);
        let given: Vec<&String> = given.keys().collect();
        let described: Vec<&String> = members.keys().collect();
        assert_eq!(given, described, "{at}");
        for (name, schema) in members {
            check(description, schema, &value[name], name);
        }
    }
    if let Some(values) = value.as_array() {
        assert!(!values.is_empty(), "{at} must have an example");
        for value in values {
            check(description, &schema["items"], value, at);
        }
    }
}

#[tokio::test]
async fn responses_match_their_schemas() {
    let description = description();
    for route in admin::Route::ALL {
        let (status, response) = match route {
            admin::Route::Openapi => continue,
            admin::Route::Explain => get("/admin/v1/explain?request=r-1", "watch").await,
            route if route.method() == admin::Method::Post => {
                post(route.path(), "work", r#"{"target":"endpoint","name":"e1"}"#).await
            }
            route => get(route.path(), "watch").await,
        };
        assert_eq!(status, http::StatusCode::OK, "{}", route.path());
        let operation = &description["paths"][route.path()][method(route)];
        let schema = &operation["responses"]["200"]["content"]["application/json"]["schema"];
        check(&description, schema, &response, route.path());
    }
}

#[tokio::test]
async fn routes_require_a_key_of_their_role() {
    for route in admin::Route::ALL {
        let body = r#"{"target":"host","name":"h"}"#;
        for key in ["", "wrong", "watch "] {
            let (status, response) = match route.method() {
                admin::Method::Get => get(route.path(), key).await,
                admin::Method::Post => post(route.path(), key, body).await,
            };
            if route.role().is_none() {
                assert_eq!(status, http::StatusCode::OK);
                continue;
            }
            assert_eq!(status, http::StatusCode::UNAUTHORIZED, "{}", route.path());
            assert_eq!(response["error"]["kind"], "unknown_key");
        }
    }
    let drain = r#"{"target":"host","name":"h"}"#;
    let (status, _) = post("/admin/v1/drain", "watch", drain).await;
    assert_eq!(status, http::StatusCode::UNAUTHORIZED);
    let (status, _) = get("/admin/v1/status", "work").await;
    assert_eq!(status, http::StatusCode::OK);
}

#[tokio::test]
async fn replaced_keys_are_rejected() {
    let fixture = Fixture::new();
    assert_eq!(fixture.status("watch").await, http::StatusCode::OK);
    fixture.set_keys(admin::Keys::default());
    assert_eq!(
        fixture.status("watch").await,
        http::StatusCode::UNAUTHORIZED
    );
}

#[tokio::test]
async fn errors_have_a_kind_and_a_run_state() {
    let cases = [
        ("GET", "/admin/v1/none", "", 404, "not_found"),
        ("GET", "/admin/v1/drain", "", 405, "bad_method"),
        ("GET", "/admin/v1/explain", "", 400, "bad_request"),
        ("GET", "/admin/v1/explain?request=x", "", 404, "not_found"),
        ("GET", "/admin/v1/requests?limit=0", "", 400, "bad_request"),
        ("POST", "/admin/v1/drain", "{", 400, "bad_request"),
        (
            "POST",
            "/admin/v1/drain",
            r#"{"target":"rack","name":"x"}"#,
            400,
            "bad_request",
        ),
        (
            "POST",
            "/admin/v1/drain",
            r#"{"target":"endpoint","name":"x"}"#,
            404,
            "not_found",
        ),
    ];
    for (method, path, body, status, kind) in cases {
        let (given, response) = call(method, path, "work", body.to_owned()).await;
        assert_eq!(given.as_u16(), status, "{path}");
        assert_eq!(response["error"]["kind"], kind, "{path}");
        assert_eq!(response["error"]["run_state"], "not_run");
    }
    let large = "x".repeat(20 * 1024);
    let (status, response) = call("POST", "/admin/v1/drain", "work", large).await;
    assert_eq!(status, http::StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(response["error"]["kind"], "body_too_large");
}

#[tokio::test]
async fn the_page_loads_only_its_own_files() {
    for path in ["/admin/", "/admin/page.js", "/admin/page.css"] {
        let (head, text) = Fixture::new().send("GET", path, "", String::new()).await;
        assert_eq!(head.status, http::StatusCode::OK);
        let policy = head.headers["content-security-policy"]
            .to_str()
            .expect("text");
        assert!(policy.starts_with("default-src 'none'"));
        assert!(!text.contains("http://") && !text.contains("https://"));
    }
}
