//! Tests with callers and endpoints that violate HTTP.

mod common;

use core::net;

use rstest::rstest;
use testkit::load;
use testkit::text;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

async fn exchange(address: net::SocketAddr, request: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("the host accepts");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the host reads");
    let mut answer = Vec::new();
    // A reset after the answer counts as a close.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against malformed bodies that are accepted, and against callers that
/// stop sending and hold a connection indefinitely.
#[rstest]
#[case::malformed(
    "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 9\r\n\r\n{\"model\":",
    "bad_request"
)]
#[case::silent(
    "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 900\r\n\r\n{",
    "caller_timeout"
)]
#[tokio::test]
async fn malformed_bodies_are_refused_with_their_reason(#[case] request: &str, #[case] kind: &str) {
    let engine = common::engine(4, None);
    let host = common::host(&[engine.address()]).await;
    let answer = exchange(host.caller_addr(), request).await;
    assert!(answer.contains(&format!("\"kind\":\"{kind}\"")), "{answer}");
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
    host.shutdown().await;
}

/// Starts an endpoint that answers every connection with these bytes.
async fn endpoint(bytes: &'static [u8]) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            drop(stream.read(&mut request).await);
            drop(stream.write_all(bytes).await);
        }
    });
    address
}

/// Guards against a host that hangs, panics or relays invalid data when an endpoint
/// does not answer with HTTP or closes early.
#[rstest]
#[case::garbage(b"\x00\x01\x02 not http at all\r\n\r\n")]
#[case::nothing(b"")]
#[case::short(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{}")]
#[case::short_head(b"HTTP/1.1 200 OK\r\ncontent-length: 1")]
#[case::status_000(b"HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\n{}")]
#[case::status_101(b"HTTP/1.1 101 Switching Protocols\r\n\r\n{}")]
#[case::status_600(b"HTTP/1.1 600 None\r\ncontent-length: 2\r\n\r\n{}")]
#[case::status_600_without_length(b"HTTP/1.1 600 None\r\n\r\n{}")]
#[case::blank_in_a_name(b"HTTP/1.1 200 OK\r\nx bad: 1\r\ncontent-length: 2\r\n\r\n{}")]
#[case::control_in_a_name(b"HTTP/1.1 200 OK\r\nx\x01bad: 1\r\ncontent-length: 2\r\n\r\n{}")]
#[tokio::test]
async fn invalid_answers_of_endpoints_are_refused(
    #[case] bytes: &'static [u8],
    #[values(false, true)] is_stream: bool,
) {
    let host = common::host(&[endpoint(bytes).await]).await;
    let mut call = common::call("r1", 4);
    call.stream = is_stream;
    let record = call.send(&common::client(), host.caller_addr()).await;
    match record.outcome {
        load::Outcome::Refused {
            status, run_state, ..
        } => {
            assert_eq!(status, 502);
            assert_eq!(run_state, "unknown");
        }
        // The stream has begun when its endpoint closes the connection.
        load::Outcome::Answered(text::Verdict::Truncated) if is_stream => {}
        other => panic!("not refused: {other:?}"),
    }
    host.shutdown().await;
}
