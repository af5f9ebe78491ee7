//! Guards against streams that are refused after their host was killed, because no
//! other host has a record of their build.

mod common;

use std::net;

use common::builds::{Addresses, Service, begin, breaks_first, resume, whole};
use common::mortal::Mortal;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Offset of the load port of a host whose datagrams take a path of the test.
const MOVED_LOAD_PORT: u16 = 3;

/// Reads the datagrams that have arrived, and drops them.
fn discard(socket: &net::UdpSocket) {
    let mut buffer = [0; 2_048];
    while socket.recv_from(&mut buffer).is_ok() {}
}

/// Passes on datagrams.
async fn forward(from: net::UdpSocket, to: net::SocketAddr) {
    let socket = tokio::net::UdpSocket::from_std(from).expect("socket");
    let mut buffer = [0; 2_048];
    loop {
        let (length, _) = socket.recv_from(&mut buffer).await.expect("datagram");
        let sent = socket.send_to(&buffer[..length], to).await;
        sent.expect("datagram passed on");
    }
}

// Guards against a build that is not known anywhere because the datagrams that were
// sent when the stream began, or soon after it, are lost.
#[rstest]
#[case::first(0)]
#[case::first_and_second(220)]
#[tokio::test]
async fn a_build_is_known_after_datagrams_are_lost(#[case] lossy_ms: u64) {
    let builds = [Some("v1"), Some("v1"), Some("v2"), Some("v2")];
    let service = Service::start(&builds, breaks_first).await;
    let addresses = Addresses::new();
    let path = net::UdpSocket::bind(addresses.of(1, 2)).expect("path");
    path.set_nonblocking(true).expect("path");
    let first = Mortal::start(addresses.options(0), 1).await;
    let options = edge::Options {
        load_listen: addresses.of(1, MOVED_LOAD_PORT),
        ..addresses.options(1)
    };
    let second = common::builds::start(options, 1).await;
    common::builds::wait_until_known(&[first.host.clone(), second.clone()]).await;
    service.list(&first.host, 1, |_, _| true);
    service.list(&second, 1, |_, _| true);

    let mut caller = tokio::net::TcpStream::connect(first.host.address())
        .await
        .expect("connect");
    caller
        .write_all(begin("a1").as_bytes())
        .await
        .expect("send");
    let mut received = String::new();
    while !received.contains(&whole(2, 2)) {
        let mut buffer = [0; 1_024];
        let length = caller.read(&mut buffer).await.expect("event");
        assert!(length > 0, "{received}");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    tokio::time::sleep(common::ms(lossy_ms)).await;
    discard(&path);
    let passing = tokio::spawn(forward(path, addresses.of(1, MOVED_LOAD_PORT)));
    tokio::time::sleep(common::ms(1_000)).await;
    first.kill().await;

    let rest = common::call(&second, &resume("b1", "a1")).await;
    assert_eq!((rest.status, rest.text()), (200, whole(3, 6)), "{rest:?}");
    assert_eq!(service.builds(&["a1", "b1"]).len(), 1);
    passing.abort();
}

/// Why hosts may have missed a build.
#[derive(Clone, Copy, Debug)]
enum Gap {
    /// The platform has confirmed nothing for more than 5 s.
    Outage,
    /// The platform was restored from an older copy.
    Era,
}

// Guards against a stream that is refused everywhere because its host stopped being a
// witness before it was killed, and had not published the build.
#[rstest]
#[case(Gap::Outage)]
#[case(Gap::Era)]
#[tokio::test]
async fn a_build_is_known_after_all_witnesses_are_lost(#[case] gap: Gap) {
    let service = Service::start(&[Some("v1"), Some("v1")], breaks_first).await;
    let addresses = Addresses::new();
    let first = Mortal::start(addresses.options(0), 1).await;
    let second = common::builds::start(addresses.options(1), 1).await;
    let hosts = [first.host.clone(), second.clone()];
    common::builds::wait_until_known(&hosts).await;
    for host in &hosts {
        service.list(host, 1, |_, _| true);
    }
    common::builds::wait_for_history(&hosts).await;
    let confirmed = tokio::time::Instant::now();
    if matches!(gap, Gap::Outage) {
        tokio::time::sleep(common::ms(3_000)).await;
    }

    let cut = common::call(&first.host, &begin("a1")).await;
    assert_eq!((cut.is_whole, cut.text()), (false, whole(1, 2)));
    match gap {
        Gap::Outage => tokio::time::sleep_until(confirmed + common::ms(5_600)).await,
        Gap::Era => {
            hosts.iter().for_each(|host| host.record_era(7, "test"));
            tokio::time::sleep(common::ms(600)).await;
        }
    }
    drop(hosts);
    first.kill().await;

    let unknown = common::call(&second, &resume("b1", "a2")).await;
    assert_eq!(unknown.status, 503, "{unknown:?}");
    let rest = common::call(&second, &resume("b2", "a1")).await;
    assert_eq!((rest.status, rest.text()), (200, whole(3, 6)), "{rest:?}");
}
