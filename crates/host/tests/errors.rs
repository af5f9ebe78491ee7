//! Guards against errors and repeated refusals of engines that reach a caller as a part of
//! its answer, or as the promise that its request has not run.

mod common;

use core::time;
use std::sync;
use std::sync::atomic;

use common::script::{self, Step};
use http_body_util::BodyExt;
use http_body_util::Full;
use rstest::rstest;
use serde_json::json;
use testkit::load;
use testkit::text;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Longest wait for the end of an answer.
const WAIT_MAX: time::Duration = time::Duration::from_secs(8);

/// Tag of the request that the tests observe.
const TAG: &str = "r1";

/// Number of other requests before it, which pay for its retries.
const EARLIER: u32 = 50;

const TOKENS: u32 = 8;

type Script = fn(&script::Request) -> Vec<Step>;

fn deliver(request: &script::Request) -> Vec<Step> {
    vec![
        script::stream_head(),
        script::events(request, 0, TOKENS),
        script::finish(),
        script::done(),
    ]
}

/// Closes the connection within the answer.
fn cut(request: &script::Request) -> Vec<Step> {
    vec![script::stream_head(), script::events(request, 0, 3)]
}

fn answer(status: &str, body: &str) -> Vec<Step> {
    let text = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    vec![Step::Bytes(text.into_bytes())]
}

const ERROR: &str = "{\"error\":{\"message\":\"out of memory\"}}";

fn failure(_: &script::Request) -> Vec<Step> {
    answer("500 Internal Server Error", ERROR)
}

fn rejection(_: &script::Request) -> Vec<Step> {
    answer("400 Bad Request", ERROR)
}

fn status_000(_: &script::Request) -> Vec<Step> {
    answer("000 None", ERROR)
}

fn status_101(_: &script::Request) -> Vec<Step> {
    answer("101 Switching Protocols", ERROR)
}

fn status_600(_: &script::Request) -> Vec<Step> {
    answer("600 None", ERROR)
}

fn success(_: &script::Request) -> Vec<Step> {
    answer("200 OK", ERROR)
}

fn success_with_blank_lines(_: &script::Request) -> Vec<Step> {
    answer("200 OK", &format!("{ERROR}\n\n"))
}

fn error_event(_: &script::Request) -> Vec<Step> {
    let event = format!("data: {ERROR}\n\n");
    vec![script::stream_head(), Step::Bytes(event.into_bytes())]
}

fn error_event_and_end(_: &script::Request) -> Vec<Step> {
    let event = format!("data: {ERROR}\n\n");
    vec![
        script::stream_head(),
        Step::Bytes(event.into_bytes()),
        script::done(),
    ]
}

fn head_within_the_stream(_: &script::Request) -> Vec<Step> {
    let head = format!("HTTP/1.1 500 No\r\nserver: x\r\n\r\n{ERROR}\n\n");
    vec![
        script::stream_head(),
        Step::Bytes(head.into_bytes()),
        script::done(),
    ]
}

/// Starts an engine for each script; the scripts go to the engines in the order in which
/// they are asked for the observed request.
async fn engines(scripts: &[Script]) -> Vec<script::Endpoint> {
    let asked = sync::Arc::new(atomic::AtomicUsize::new(0));
    let mut engines = Vec::new();
    for _ in scripts {
        let (asked, scripts) = (asked.clone(), scripts.to_vec());
        let script = move |request: &script::Request| {
            if request.tag() != TAG {
                return deliver(request);
            }
            let index = asked.fetch_add(1, atomic::Ordering::SeqCst);
            scripts[index.min(scripts.len() - 1)](request)
        };
        engines.push(script::Endpoint::start(&sync::Arc::default(), script).await);
    }
    engines
}

/// Sends a streamed request and returns the body of its answer.
async fn send(host: &host::Host, tag: &str) -> String {
    let body = json!({
        "model": "braille", "stream": true, "user": tag,
        "messages": [{"role": "user", "content": format!("ward three {tag}")}],
    });
    let uri = format!("http://{}/v1/chat/completions", host.caller_addr());
    let request = http::Request::post(uri)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", common::KEY))
        .body(Full::from(body.to_string()))
        .expect("the request is valid");
    let answer = async {
        let response = common::client().send(request).await;
        let body = response.expect("the host answers").into_body();
        let bytes = body.collect().await.expect("a whole body").to_bytes();
        String::from_utf8_lossy(&bytes).into_owned()
    };
    tokio::time::timeout(WAIT_MAX, answer)
        .await
        .expect("the answer ends")
}

/// Sends the observed request to a host in front of these engines.
async fn run(engines: &[script::Endpoint]) -> String {
    let addresses: Vec<_> = engines.iter().map(script::Endpoint::address).collect();
    let options = common::options("host-1", &addresses, &[], "");
    let host = host::Host::start(options).await.expect("the host starts");
    for number in 0..EARLIER {
        send(&host, &format!("e{number}")).await;
    }
    let answer = send(&host, TAG).await;
    host.shutdown().await;
    answer
}

fn is_whole(body: &str) -> bool {
    let mut check = text::Check::new(TAG);
    for event in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let event: serde_json::Value = serde_json::from_str(event).unwrap_or_default();
        check.push(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    body.ends_with("data: [DONE]\n\n") && check.finish(TOKENS) == text::Verdict::Whole
}

// Guards against the error of another engine in the middle of a stream that broke, or as
// its end.
#[rstest]
#[case::failure(failure)]
#[case::rejection(rejection)]
#[case::status_000(status_000)]
#[case::status_101(status_101)]
#[case::status_600(status_600)]
#[case::success(success)]
#[case::success_with_blank_lines(success_with_blank_lines)]
#[case::error_event(error_event)]
#[case::error_event_and_end(error_event_and_end)]
#[case::head_within_the_stream(head_within_the_stream)]
#[tokio::test]
async fn an_error_after_a_break_is_not_passed_on(
    #[case] error: Script,
    #[values(false, true)] has_third: bool,
) {
    let scripts: &[Script] = match has_third {
        true => &[cut, error, deliver],
        false => &[cut, error],
    };
    let body = run(&engines(scripts).await).await;
    assert!(!body.contains("out of memory"), "{body}");
    assert!(!body.contains("HTTP/1.1"), "{body}");
    let has_error = body.contains("\"run_state\"");
    assert!(is_whole(&body) != has_error, "{body}");
    assert!(!body.contains("[DONE]") || is_whole(&body), "{body}");
}

/// Reads a request; returns its body, or `None` at the end of the connection.
async fn read(stream: &mut tokio::net::TcpStream) -> Option<String> {
    let mut data = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&data).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse::<usize>().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                return Some(head.to_owned() + body);
            }
        }
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => data.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Starts an engine that refuses the first request of each connection and writes the same
/// refusal once more while it runs the second one; returns its address and the number of
/// requests that it has run.
async fn engine_with_copies() -> (core::net::SocketAddr, sync::Arc<atomic::AtomicUsize>) {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let runs = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counted = runs.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let runs = counted.clone();
            tokio::spawn(async move {
                let mut is_first = true;
                while let Some(request) = read(&mut stream).await {
                    if request.starts_with("GET /load") {
                        let none = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
                        drop(stream.write_all(none).await);
                        continue;
                    }
                    if !core::mem::replace(&mut is_first, false) {
                        runs.fetch_add(1, atomic::Ordering::SeqCst);
                    }
                    drop(stream.write_all(REFUSAL).await);
                }
            });
        }
    });
    (address, runs)
}

// Guards against a caller that is told that its request has not run, because an engine
// wrote an earlier refusal once more on a kept connection while it ran the request.
#[tokio::test]
async fn a_refusal_that_is_written_again_does_not_say_that_the_next_request_has_not_run() {
    let (address, runs) = engine_with_copies().await;
    let host = common::host(&[address]).await;
    for number in 0..20 {
        let before = runs.load(atomic::Ordering::SeqCst);
        // The same request each time: a refusal must not count as a crash under it.
        let mut call = common::call("r", 4);
        call.stream = false;
        let record = call.send(&common::client(), host.caller_addr()).await;
        let load::Outcome::Refused {
            kind, run_state, ..
        } = record.outcome
        else {
            panic!("not refused: {:?}", record.outcome);
        };
        let has_run = runs.load(atomic::Ordering::SeqCst) > before;
        assert!(
            !has_run || run_state != "not_run",
            "request {number} has run and its caller is told {run_state}"
        );
        // Both say that the caller may come back.
        assert!(
            ["endpoint_connect", "endpoint_failed"].contains(&kind.as_str()),
            "request {number}: {kind}"
        );
    }
    assert!(
        runs.load(atomic::Ordering::SeqCst) > 0,
        "no connection was used again"
    );
    host.shutdown().await;
}
