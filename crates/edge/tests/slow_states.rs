//! Guards against hosts that give up the state of another host while it arrives, and so
//! keep an old configuration, or none.

mod common;

use common::{endpoint, narrow};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Bytes of a route beside its prefix, about.
const PREFIX_BYTES: usize = 150;

/// Returns a plan whose encoding has about a million bytes.
fn large(revision: u64) -> plan::Plan {
    let mut plan = common::plan(revision);
    let more = (0..5_200).map(|number| {
        let prefix = format!("/{number:0>PREFIX_BYTES$}/");
        common::route(&prefix, plan::Kind::Idempotent)
    });
    plan.routes.extend(more);
    plan
}

/// Starts a host with this configuration; returns it and its address for other hosts.
async fn source(
    one: &endpoint::Endpoint,
    plan: plan::Plan,
) -> (std::sync::Arc<edge::Host>, std::net::SocketAddr) {
    let options = common::options("a", Vec::new());
    let address = options.peer_listen;
    let host = edge::Host::start(options).await.expect("host");
    host.apply_plan(plan, "test");
    common::list(&host, &[one], 1);
    host.confirm_plan();
    (host, address)
}

/// Returns the time until a host that starts with this seed is ready, up to 6 s.
async fn start_time(seed: std::net::SocketAddr) -> Option<core::time::Duration> {
    let options = common::options("b", vec![seed]);
    let host = edge::Host::start(options).await.expect("host");
    let began = tokio::time::Instant::now();
    let is_ready = async {
        while !host.is_ready() {
            tokio::time::sleep(common::ms(10)).await;
        }
    };
    let waited = tokio::time::timeout(common::ms(6_000), is_ready).await;
    waited.ok().map(|()| began.elapsed())
}

#[rstest]
#[case::ten_mbit(narrow::TEN_MBIT)]
#[case::five_mbit(narrow::TEN_MBIT / 2.0)]
#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_arrives_over_a_slow_link(#[case] rate: f64) {
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let (_host, address) = source(&one, large(1)).await;
    let seed = narrow::start(address, rate).await;
    let took = start_time(seed).await;
    assert!(took.is_some(), "no configuration within 6 s");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_state_that_stalls_is_given_up() {
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let (_host, address) = source(&one, common::plan(1)).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let seed = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let mut stalled = Vec::new();
        for is_first in core::iter::once(true).chain(core::iter::repeat(false)) {
            let (mut near, _) = listener.accept().await.expect("connection");
            if is_first {
                let mut request = [0; 4_096];
                let _ = near.read(&mut request).await;
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nsome";
                near.write_all(head).await.expect("sent");
                stalled.push(near);
                continue;
            }
            let mut far = tokio::net::TcpStream::connect(address).await.expect("host");
            tokio::spawn(async move { tokio::io::copy_bidirectional(&mut near, &mut far).await });
        }
    });
    let took = start_time(seed).await;
    assert!(
        took.is_some_and(|took| took < common::ms(3_000)),
        "{took:?}"
    );
}
