//! Tests of the limits on connections, times and request heads.

mod common;

use core::time;
use std::sync;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const KEEP_ALIVE_REQUEST: &[u8] = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n";
const CLOSE_REQUEST: &[u8] = b"GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
/// HTTP/2 connection preface with an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";
/// HEADERS frame of HTTP/2 stream 1 without END_HEADERS, which a CONTINUATION
/// frame must follow.
const UNFINISHED: &[u8] = b"\x00\x00\x01\x01\x00\x00\x00\x00\x01\x82";

/// The same frame for HTTP/2 stream 3.
const UNFINISHED_SECOND: &[u8] = b"\x00\x00\x01\x01\x00\x00\x00\x00\x03\x82";
/// `GET /v1/models` on HTTP/2 stream 1.
const REQUEST: &[u8] = b"\x00\x00\x11\x01\x05\x00\x00\x00\x01\x82\x86\x04\x0a/v1/models\x01\x01x";

async fn read_response(stream: &mut tokio::net::TcpStream) {
    let mut response = Vec::new();
    while !response.ends_with(b"}") {
        assert_ne!(stream.read_buf(&mut response).await.expect("a response"), 0);
    }
}

/// Guards against one caller, or all callers together, that exhaust the memory or
/// the file descriptors of a host, and against slots that are never released.
#[rstest]
#[case::of_one_address(front::Options { address_connections_max: 2, ..common::options() })]
#[case::in_all(front::Options { connections_max: 2, ..common::options() })]
#[tokio::test]
async fn connections_are_limited(#[case] options: front::Options) {
    let options = front::Options {
        idle_timeout: time::Duration::from_secs(60),
        ..options
    };
    let server = common::start(options, sync::Arc::default()).await;
    let first = common::connect(&server).await;
    let second = common::connect(&server).await;
    common::until(&server, 2, |counters| counters.open).await;
    let refused = common::rest(common::connect(&server).await).await;
    assert_eq!(refused, "");
    let counters = server.counters();
    assert_eq!(counters.refused_all + counters.refused_address, 1);
    drop(first);
    common::until(&server, 1, |counters| counters.open).await;
    let response = common::exchange(common::connect(&server).await, CLOSE_REQUEST).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    drop(second);
    server.shutdown().await;
}

/// Guards against callers that hold a connection without a complete request head.
#[rstest]
#[case::silent(b"")]
#[case::http1(b"GET /v1/models HTTP/1.1\r\nhost: x\r\nx-a")]
#[case::preface(&PREFACE[..10])]
#[case::settings(PREFACE)]
#[case::http2(&[PREFACE, UNFINISHED].concat())]
#[tokio::test]
async fn a_head_must_arrive_in_time(#[case] bytes: &[u8]) {
    let server = common::start(common::options(), sync::Arc::default()).await;
    common::exchange(common::connect(&server).await, bytes).await;
    assert_eq!(server.counters().slow_heads, 1);
    server.shutdown().await;
}

/// Guards against a caller that sends a request head byte by byte and whose
/// connection stays open because data keeps arriving.
#[rstest]
#[case::first(false)]
#[case::second(true)]
#[tokio::test]
async fn a_trickled_head_times_out(#[case] after_another: bool) {
    let server = common::start(common::options(), sync::Arc::default()).await;
    let mut stream = common::connect(&server).await;
    if after_another {
        stream
            .write_all(KEEP_ALIVE_REQUEST)
            .await
            .expect("the listener reads");
        read_response(&mut stream).await;
    }
    let mut sent = 0;
    while server.counters().slow_heads == 0 {
        // The listener may close the connection between the check and the write.
        drop(stream.write_all(&CLOSE_REQUEST[sent..=sent]).await);
        sent = (sent + 1).min(20);
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    drop(stream);
    server.shutdown().await;
}

/// Guards against a caller that holds a request open by sending its body byte by
/// byte.
#[tokio::test]
async fn a_trickled_body_is_refused() {
    let options = front::Options {
        idle_timeout: time::Duration::from_secs(60),
        body_timeout: time::Duration::from_millis(200),
        ..common::options()
    };
    let server = common::start(options, sync::Arc::default()).await;
    let (reader, mut writer) = common::connect(&server).await.into_split();
    let head = b"POST /services/a/b HTTP/1.1\r\nconnection: close\r\ncontent-length: 900\r\n\r\n";
    writer.write_all(head).await.expect("the listener reads");
    let sending = tokio::spawn(async move {
        while writer.write_all(b"x").await.is_ok() {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    });
    let response = common::rest(reader).await;
    assert!(
        response.contains(r#""kind":"caller_timeout""#),
        "{response}"
    );
    sending.await.expect("no panic");
    server.shutdown().await;
}

fn short_timeouts() -> front::Options {
    front::Options {
        keep_alive: time::Duration::from_millis(100),
        close_grace: time::Duration::from_millis(100),
        write_timeout: time::Duration::from_millis(100),
        ..common::options()
    }
}

/// Guards against idle connections that are never closed.
#[rstest]
#[case::http1(false)]
#[case::http2(true)]
#[tokio::test]
async fn idle_connections_are_closed(#[case] is_http2: bool) {
    let server = common::start(short_timeouts(), sync::Arc::default()).await;
    let mut stream = common::connect(&server).await;
    if is_http2 {
        let sender = common::http2(stream).await;
        let request = http::Request::get("http://x/v1/models");
        assert_eq!(common::send(sender.clone(), request, "").await.0, 200);
        while !sender.is_closed() {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    } else {
        stream
            .write_all(KEEP_ALIVE_REQUEST)
            .await
            .expect("the listener reads");
        read_response(&mut stream).await;
        assert_eq!(common::rest(stream).await, "");
    }
    common::until(&server, 0, |counters| counters.open).await;
    assert_eq!(server.counters().idle_closed, 1);
    server.shutdown().await;
}

/// Guards against an HTTP/2 caller that, after a complete request, holds its
/// connection with an unfinished request head and does not acknowledge pings.
#[tokio::test]
async fn an_unfinished_later_head_closes_the_connection() {
    let server = common::start(short_timeouts(), sync::Arc::default()).await;
    let mut stream = common::connect(&server).await;
    let bytes = [PREFACE, REQUEST].concat();
    stream.write_all(&bytes).await.expect("the listener reads");
    read_response(&mut stream).await;
    drop(stream.write_all(UNFINISHED_SECOND).await);
    common::rest(stream).await;
    common::until(&server, 0, |counters| counters.open).await;
    assert_eq!(server.counters().idle_closed, 1);
    server.shutdown().await;
}

/// Guards against a slow response that is cut off by the time-outs for idle
/// connections.
#[rstest]
#[case::http1(false)]
#[case::http2(true)]
#[tokio::test]
async fn a_request_in_flight_keeps_its_connection(#[case] is_http2: bool) {
    let gate = sync::Arc::<common::Gate>::default();
    gate.close(true);
    let server = common::start(short_timeouts(), gate.clone()).await;
    let stream = common::connect(&server).await;
    let running = tokio::spawn(async move {
        if is_http2 {
            let request = http::Request::get("http://x/services/a/b");
            let sender = common::http2(stream).await;
            return common::send(sender, request, "").await.1;
        }
        let request = b"GET /services/a/b HTTP/1.1\r\nhost: x\r\n\r\n";
        common::exchange(stream, request).await
    });
    gate.wait_for(1).await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    gate.close(false);
    let response = running.await.expect("the caller does not panic");
    assert!(response.ends_with("ok"), "{response}");
    server.shutdown().await;
}

/// Guards against a caller that does not read its response and thereby blocks the
/// endpoint that sends it.
#[rstest]
#[case::http1(b"GET /services/a/large HTTP/1.1\r\nhost: x\r\n\r\n")]
#[case::pipelined(
    b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\nGET /services/a/large HTTP/1.1\r\nhost: x\r\n\r\n"
)]
#[tokio::test]
async fn an_unread_response_is_abandoned(#[case] request: &[u8]) {
    let server = common::start(short_timeouts(), sync::Arc::default()).await;
    let mut stream = common::connect(&server).await;
    stream.write_all(request).await.expect("the listener reads");
    common::until(&server, 1, |counters| counters.stalled).await;
    common::until(&server, 0, |counters| counters.open).await;
    server.shutdown().await;
}

/// Guards against an HTTP/2 caller that stops reading one response forever, and
/// against a time-out that also ends the other responses of its connection.
#[tokio::test]
async fn an_unread_stream_is_abandoned_alone() {
    let options = front::Options {
        write_timeout: time::Duration::from_millis(100),
        ..common::options()
    };
    let server = common::start(options, sync::Arc::default()).await;
    let mut sender = common::http2(common::connect(&server).await).await;
    let request = http::Request::get("http://x/services/a/large");
    let request = request.body(http_body_util::Full::default());
    let stopped = sender.send_request(request.expect("valid")).await;
    let stopped = stopped.expect("a response").into_body();
    common::until(&server, 1, |counters| counters.stalled).await;
    let other = http::Request::get("http://x/services/a/b");
    let response = common::send(sender.clone(), other, "").await;
    assert_eq!(response, (200, "ok".to_owned()));
    let rest = http_body_util::BodyExt::collect(stopped).await;
    assert!(rest.is_err());
    server.shutdown().await;
}

/// Guards against a large response that is truncated although its caller reads it.
#[tokio::test]
async fn a_response_that_is_read_is_complete() {
    let server = common::start(common::options(), sync::Arc::default()).await;
    let request = b"GET /services/a/large HTTP/1.1\r\nconnection: close\r\n\r\n";
    let response = common::exchange(common::connect(&server).await, request).await;
    assert!(response.len() > common::LARGE_BYTES, "{}", response.len());
    server.shutdown().await;
}

/// Guards against one HTTP/2 connection that sends as many concurrent requests as
/// many HTTP/1.1 connections.
#[tokio::test]
async fn streams_of_a_connection_are_limited() {
    let gate = sync::Arc::<common::Gate>::default();
    let options = front::Options {
        streams_max: 2,
        ..common::options()
    };
    let server = common::start(options, gate.clone()).await;
    let sender = common::http2(common::connect(&server).await).await;
    // The SETTINGS frame of the listener arrives before the first response.
    let first = http::Request::get("http://x/v1/models");
    common::send(sender.clone(), first, "").await;
    gate.close(true);
    let requests = (0..6).map(|_| {
        let request = http::Request::get("http://x/services/a/b");
        tokio::spawn(common::send(sender.clone(), request, ""))
    });
    let requests: Vec<_> = requests.collect();
    gate.wait_for(2).await;
    gate.close(false);
    for request in requests {
        assert_eq!(request.await.expect("no panic").0, 200);
    }
    assert_eq!(gate.peak.load(sync::atomic::Ordering::SeqCst), 2);
    drop(sender);
    server.shutdown().await;
}

fn long_head(kind: &str) -> (String, Vec<(String, String)>) {
    let field = |index: usize, length| (format!("x-{index}"), "y".repeat(length));
    match kind {
        "long" => ("/v1/models".to_owned(), vec![field(0, 5_000)]),
        "many" => (
            "/v1/models".to_owned(),
            (0..120).map(|index| field(index, 1)).collect(),
        ),
        "uri" => (format!("/v1/models?{}", "y".repeat(9_000)), Vec::new()),
        _ => (
            "/v1/models".to_owned(),
            (0..200).map(|index| field(index, 300)).collect(),
        ),
    }
}

/// Guards against a refusal that does not name the limit, and against paths
/// without limits.
#[rstest]
#[tokio::test]
async fn long_heads_are_refused_with_a_reason(
    #[values("long", "many", "uri", "both")] kind: &str,
    #[values(false, true)] is_http2: bool,
) {
    let server = common::start(common::options(), sync::Arc::default()).await;
    let (path, fields) = long_head(kind);
    let stream = common::connect(&server).await;
    let response = if is_http2 {
        let request = http::Request::get(format!("http://x{path}"));
        let request = fields.iter().fold(request, |request, (name, value)| {
            request.header(name, value)
        });
        let (status, body) = common::send(common::http2(stream).await, request, "").await;
        format!("HTTP/2 {status} {body}")
    } else {
        let mut request = format!("GET {path} HTTP/1.1\r\nconnection: close\r\n");
        for (name, value) in fields {
            request.push_str(&format!("{name}: {value}\r\n"));
        }
        request.push_str("\r\n");
        common::exchange(stream, request.as_bytes()).await
    };
    assert!(response.contains(" 431 "), "{response}");
    assert!(
        response.contains(r#""kind":"header_too_large""#),
        "{response}"
    );
    assert!(response.contains(r#""run_state":"not_run""#), "{response}");
    server.shutdown().await;
}

/// Guards against a head far above the limits that is read completely. The HTTP
/// library refuses it without a body.
#[tokio::test]
async fn huge_heads_are_refused() {
    let server = common::start(common::options(), sync::Arc::default()).await;
    let mut request = b"GET /v1/models HTTP/1.1\r\nx-long: ".to_vec();
    request.resize(90_000, b'y');
    let response = common::exchange(common::connect(&server).await, &request).await;
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    server.shutdown().await;
}
