//! Guards against responses that end no request, and against parts of a response that look
//! like a whole one.

use core::time;
use std::net;

use http_body_util::BodyExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn only_a_final_status_answers_a_request() {
    for code in 100..1_000 {
        let mut response = http::Response::new(());
        *response.status_mut() = http::StatusCode::from_u16(code).expect("a code");
        let is_final = (200..600).contains(&code);
        assert_eq!(back::response::check(&response).is_ok(), is_final, "{code}");
    }
}

/// Starts an endpoint that sends these bytes as soon as a request begins, ends the response
/// and never reads the request.
async fn endpoint(bytes: &'static str) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                stream.read_u8().await.expect("a request");
                stream.write_all(bytes.as_bytes()).await.expect("sent");
                stream.shutdown().await.expect("ended");
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            });
        }
    });
    address
}

/// Sends a request with a body of this many bytes and reads the response.
async fn exchange(
    address: net::SocketAddr,
    body: usize,
    reuse: back::Reuse,
) -> Result<String, String> {
    let client = back::Client::new(back::Options::default());
    let request = http::Request::post(format!("http://{address}/"))
        .body(http_body_util::Full::from(vec![b'p'; body]))
        .expect("request");
    let sent = client.send(request, reuse).await;
    let response = sent.map_err(|cause| match cause {
        back::Error::MayHaveRun(cause) => cause,
        cause => panic!("{cause}"),
    })?;
    let body = response.into_body().collect().await;
    let body = body.map_err(|cause| cause.to_string())?;
    Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

#[rstest]
#[case::status_000("HTTP/1.1 000 None\r\ncontent-length: 4\r\n\r\npart")]
#[case::status_101("HTTP/1.1 101 Switching Protocols\r\n\r\npart")]
#[case::status_600("HTTP/1.1 600 None\r\ncontent-length: 4\r\n\r\npart")]
#[case::status_600_without_length("HTTP/1.1 600 None\r\n\r\npart")]
#[case::blank_in_a_name("HTTP/1.1 200 OK\r\nx bad: 1\r\ncontent-length: 4\r\n\r\npart")]
#[case::control_in_a_name("HTTP/1.1 200 OK\r\nx\u{1}bad: 1\r\ncontent-length: 4\r\n\r\npart")]
#[case::cut_in_the_head("HTTP/1.1 200 OK\r\ncontent-length: 4")]
#[case::cut_in_the_body("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\npart")]
#[case::cut_in_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\npart")]
#[case::cut_after_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n")]
#[tokio::test]
async fn what_is_no_response_is_an_error(
    #[case] bytes: &'static str,
    #[values(back::Reuse::Pooled, back::Reuse::Fresh)] reuse: back::Reuse,
) {
    let answer = exchange(endpoint(bytes).await, 0, reuse).await;
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn a_response_without_a_length_ends_with_its_connection() {
    let address = endpoint("HTTP/1.1 200 OK\r\n\r\nwhole").await;
    let answer = exchange(address, 0, back::Reuse::Fresh).await;
    assert_eq!(answer.as_deref(), Ok("whole"));
}

/// Size of a request that exceeds the buffers of a connection.
const LONG_BYTES: usize = 16 << 20;

/// Size of a request that the system of the sender takes, but not that of the receiver.
const MEDIUM_BYTES: usize = 3_000_000;

/// Time in which a write that can end does.
const PAUSE: time::Duration = time::Duration::from_millis(20);

#[rstest]
#[tokio::test]
async fn a_response_without_a_length_that_ends_before_the_request_is_an_error(
    #[values(back::Reuse::Pooled, back::Reuse::Fresh)] reuse: back::Reuse,
    #[values(MEDIUM_BYTES, LONG_BYTES)] bytes: usize,
) {
    let address = endpoint("HTTP/1.1 200 OK\r\n\r\npart").await;
    let answer = exchange(address, bytes, reuse).await;
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn a_response_with_a_length_may_come_before_the_end_of_the_request() {
    let address = endpoint("HTTP/1.1 413 Too Long\r\ncontent-length: 5\r\n\r\nwhole").await;
    let answer = exchange(address, LONG_BYTES, back::Reuse::Fresh).await;
    assert_eq!(answer.as_deref(), Ok("whole"));
}

#[tokio::test]
async fn a_connection_fails_if_it_ends_while_bytes_wait_to_be_sent() {
    let (near, mut far) = tokio::io::duplex(4);
    let mut near = back::response::Stream::new(near);
    let mut buffer = [0; 4];
    far.write_all(b"one").await.expect("sent");
    let writing = tokio::time::timeout(PAUSE, near.write_all(b"request"));
    writing.await.expect_err("bytes wait");
    assert_eq!(near.read(&mut buffer).await.expect("data"), 3);
    far.shutdown().await.expect("ended");
    let failure = near.read(&mut buffer).await.expect_err("an error");
    assert_eq!(failure.kind(), std::io::ErrorKind::ConnectionAborted);
}

#[tokio::test]
async fn a_connection_ends_once_all_bytes_are_sent() {
    let (near, mut far) = tokio::io::duplex(4);
    let mut near = back::response::Stream::new(near);
    let mut buffer = [0; 4];
    let reading = async {
        tokio::time::sleep(PAUSE).await;
        let mut part = [0; 4];
        far.read_exact(&mut part).await.expect("a part");
    };
    let (written, ()) = tokio::join!(near.write_all(b"request"), reading);
    written.expect("sent");
    far.shutdown().await.expect("ended");
    assert_eq!(near.read(&mut buffer).await.expect("the end"), 0);
}
