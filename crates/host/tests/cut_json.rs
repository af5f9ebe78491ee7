//! Guards against JSON answers that end within their value and reach the caller as
//! complete, as the end of their framing alone makes them look.

mod common;

use std::sync;
use std::sync::atomic;

use common::script::{self, Step};
use http_body_util::BodyExt;
use http_body_util::Full;
use rstest::rstest;
use serde_json::json;
use testkit::cut::Framing;

const TOKENS: u32 = 4;

const TAG: &str = "r1";

/// Number of other requests before the observed one, which pay for its retries.
const EARLIER: usize = 20;

/// Answers with this body, which the framing declares as whole.
fn answer(framing: Framing, kind: &str, body: &[u8]) -> Vec<Step> {
    let text = String::from_utf8_lossy(body);
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\nconnection: close\r\n{}\r\n",
        framing.line(body.len())
    );
    if !text.is_empty() {
        answer += &framing.part(&text);
    }
    if matches!(framing, Framing::Chunks) {
        answer += &framing.part("");
    }
    vec![Step::Bytes(answer.into_bytes())]
}

/// Starts endpoints; the first `broken` answers to the observed request are a part of one,
/// of this type and with `cut` bytes, or without as many of the last ones if it is negative.
async fn start(
    framing: Framing,
    kind: &'static str,
    cut: isize,
    broken: usize,
) -> Vec<script::Endpoint> {
    let asked = sync::Arc::new(atomic::AtomicUsize::new(0));
    let served = sync::Arc::default();
    let mut endpoints = Vec::new();
    for _ in 0..3 {
        let asked = asked.clone();
        let script = move |request: &script::Request| {
            let (_, body) = script::whole(request, TOKENS);
            let end = match cut {
                0.. => cut.unsigned_abs(),
                _ => body.len() - cut.unsigned_abs(),
            };
            let is_broken =
                request.tag() == TAG && asked.fetch_add(1, atomic::Ordering::SeqCst) < broken;
            match is_broken {
                true => answer(framing, kind, &body[..end]),
                false => answer(framing, "application/json", &body),
            }
        };
        endpoints.push(script::Endpoint::start(&served, script).await);
    }
    endpoints
}

async fn host(endpoints: &[script::Endpoint]) -> host::Host {
    let addresses: Vec<_> = endpoints.iter().map(script::Endpoint::address).collect();
    common::host(&addresses).await
}

/// Sends a request and returns the status and the body of its answer.
async fn send(
    host: &host::Host,
    tag: &str,
    headers: &[(&str, &str)],
) -> (http::StatusCode, String) {
    let body = json!({
        "model": "braille", "user": tag,
        "messages": [{"role": "user", "content": format!("ward three {tag}")}],
    });
    let uri = format!("http://{}/v1/chat/completions", host.caller_addr());
    let mut request = http::Request::post(uri)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", common::KEY));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(body.to_string()));
    let client = common::client();
    let sent = client.send(request.expect("the request is valid")).await;
    let response = sent.expect("the host answers");
    let status = response.status();
    let body = response.into_body().collect().await.expect("a whole body");
    (
        status,
        String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    )
}

#[rstest]
#[tokio::test]
async fn an_answer_that_ends_within_its_value_is_not_passed_on(
    #[values(Framing::Length, Framing::Chunks, Framing::Connection)] framing: Framing,
    #[values(1, 30, -1)] cut: isize,
    #[values("application/json", "Application/JSON; charset=utf-8")] kind: &'static str,
) {
    let endpoints = start(framing, kind, cut, 1).await;
    let host = host(&endpoints).await;
    for number in 0..EARLIER {
        send(&host, &format!("e{number}"), &[]).await;
    }
    let (status, body) = send(&host, TAG, &[]).await;
    assert_eq!(status, http::StatusCode::OK, "{body}");
    let value = serde_json::from_str::<serde_json::Value>(&body);
    assert_eq!(value.expect("a whole value")["tag"], TAG);
    host.shutdown().await;
}

#[rstest]
#[tokio::test]
async fn a_request_that_may_run_once_has_an_unknown_outcome(
    #[values(Framing::Length, Framing::Chunks, Framing::Connection)] framing: Framing,
    #[values(1, 30, -1)] cut: isize,
) {
    let endpoints = start(framing, "application/json", cut, 3).await;
    let host = host(&endpoints).await;
    let key = common::minted_key(&common::client(), host.caller_addr()).await;
    let headers = [
        ("idempotency-key", key.as_str()),
        ("request-idempotent", "false"),
    ];
    let (status, body) = send(&host, TAG, &headers).await;
    assert!(!status.is_success(), "{body}");
    assert!(body.contains("outcome_unknown"), "{body}");
    let requests: usize = endpoints.iter().map(script::Endpoint::requests).sum();
    assert_eq!(requests, 1);
    host.shutdown().await;
}

// A body of another type may end anywhere, and one of any type may be empty.
#[rstest]
#[case::text("text/plain", 30)]
#[case::empty("application/json", 0)]
#[tokio::test]
async fn other_bodies_end_by_their_framing(
    #[values(Framing::Length, Framing::Chunks, Framing::Connection)] framing: Framing,
    #[case] kind: &'static str,
    #[case] cut: isize,
) {
    let endpoints = start(framing, kind, cut, 3).await;
    let host = host(&endpoints).await;
    let (status, body) = send(&host, TAG, &[]).await;
    assert_eq!(status, http::StatusCode::OK, "{body}");
    assert_eq!(body.len(), cut.unsigned_abs(), "{body}");
    host.shutdown().await;
}
