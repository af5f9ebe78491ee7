//! Guards against hosts that act by what another host in trouble sends instead of its state.

mod common;

use std::net;

use common::endpoint;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Makes what is sent in place of an answer with this body.
type Spoil = fn(&[u8]) -> Vec<u8>;

fn whole(status: &str, line: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{line}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

fn sound(body: &[u8]) -> Vec<u8> {
    whole("200 OK", "", body)
}

fn status_000(body: &[u8]) -> Vec<u8> {
    whole("000 None", "", body)
}

fn status_101(body: &[u8]) -> Vec<u8> {
    whole("101 Switching Protocols", "", body)
}

fn status_600(body: &[u8]) -> Vec<u8> {
    whole("600 None", "", body)
}

fn blank_in_a_name(body: &[u8]) -> Vec<u8> {
    whole("200 OK", "x bad: 1\r\n", body)
}

fn control_in_a_name(body: &[u8]) -> Vec<u8> {
    whole("200 OK", "x\u{1}bad: 1\r\n", body)
}

fn cut_in_the_head(_: &[u8]) -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\ncontent-length: 1".to_vec()
}

fn cut_in_the_body(body: &[u8]) -> Vec<u8> {
    let mut whole = sound(body);
    whole.pop();
    whole
}

fn cut_in_a_chunk(body: &[u8]) -> Vec<u8> {
    let length = body.len() + 1;
    let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n");
    [head.as_bytes(), body].concat()
}

/// Returns the state of a host that lists this endpoint, as it serves it to others.
async fn state(endpoint: &endpoint::Endpoint) -> Vec<u8> {
    let options = common::options("a", Vec::new());
    let address = options.peer_listen;
    let host = edge::Host::start(options).await.expect("host");
    host.apply_plan(common::plan(1), "test");
    common::list(&host, &[endpoint], 1);
    host.confirm_plan();
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    let request = b"GET /peer/v1/state HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("an answer");
    let end = common::find(&bytes, b"\r\n\r\n").expect("a head");
    bytes.split_off(end + 4)
}

/// Starts a stand-in for another host that sends this to every call.
async fn other(bytes: Vec<u8>) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&bytes).await;
        }
    });
    address
}

#[rstest]
#[case::sound(sound, true)]
#[case::status_000(status_000, false)]
#[case::status_101(status_101, false)]
#[case::status_600(status_600, false)]
#[case::blank_in_a_name(blank_in_a_name, false)]
#[case::control_in_a_name(control_in_a_name, false)]
#[case::cut_in_the_head(cut_in_the_head, false)]
#[case::cut_in_the_body(cut_in_the_body, false)]
#[case::cut_in_a_chunk(cut_in_a_chunk, false)]
#[tokio::test]
async fn a_host_starts_by_whole_states_of_others_only(
    #[case] spoil: Spoil,
    #[case] is_state: bool,
) {
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let seed = other(spoil(&state(&one).await)).await;
    let options = common::options("b", vec![seed]);
    let host = edge::Host::start(options).await.expect("host");
    let has_state = async {
        while !host.is_ready() {
            tokio::time::sleep(common::ms(20)).await;
        }
    };
    let learned = tokio::time::timeout(common::ms(3_000), has_state).await;
    assert_eq!(learned.is_ok(), is_state);
}
