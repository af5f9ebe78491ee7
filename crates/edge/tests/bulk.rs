//! Guards against a host whose link is divided among so many transfers of its state that
//! none of them ends in time.

mod common;

use std::net;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Routes of a configuration that does not fit into the buffers of a connection. Loopback
/// has buffers of some megabytes.
const ROUTES: usize = 40_000;

/// Connects with a small receive buffer and asks for the state as a host of this build, or
/// as one of an earlier build.
async fn ask(address: net::SocketAddr, is_earlier: bool) -> tokio::net::TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(4_096).expect("buffer");
    let mut stream = socket.connect(address).await.expect("connect");
    let query = if is_earlier {
        ""
    } else {
        "&endpoints=0&endpoint_era=0"
    };
    let head = format!(
        "GET /peer/v1/state?plan=0&era=0{query} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Reads the first line of an answer.
async fn status(stream: &mut tokio::net::TcpStream) -> String {
    let mut bytes = [0; 12];
    let reading = stream.read_exact(&mut bytes);
    tokio::time::timeout(common::ms(1_000), reading)
        .await
        .expect("an answer within 1 s")
        .expect("an answer");
    String::from_utf8_lossy(&bytes[9..]).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_a_transfer_under_way_says_that_it_is_busy() {
    let options = common::options("a", Vec::new());
    let address = options.peer_listen;
    let host = edge::Host::start(options).await.expect("host");
    let mut plan = common::plan(2);
    let more = (0..ROUTES)
        .map(|number| common::route(&format!("/{number:0>100}/"), plan::Kind::Idempotent));
    plan.routes.extend(more);
    host.apply_plan(plan, "test");
    let mut first = ask(address, false).await;
    assert_eq!(status(&mut first).await, "200");
    // Its bytes are not read.
    let mut second = ask(address, false).await;
    assert_eq!(status(&mut second).await, "503");
    // Hosts of earlier builds do not know what it means.
    let mut earlier = ask(address, true).await;
    assert_eq!(status(&mut earlier).await, "200");
    // A transfer to a host that does not read does not count for long.
    tokio::time::sleep(common::ms(2_200)).await;
    let mut third = ask(address, false).await;
    assert_eq!(status(&mut third).await, "200");
}
