//! Guards against streams that go on at a build of the endpoints which does not fit, at a
//! host that is out of step with the others: cut off from them, or with an old list.

mod common;

use std::net;

use common::builds::{Addresses, Service, begin, breaks_first, resume, wait_for_history, whole};
use common::mortal::Mortal;

/// Offset of the load port of a host to which the datagrams of others do not find.
const MOVED_LOAD_PORT: u16 = 3;

// Guards against a host that takes its own list for that of the fleet while it hears of no
// other host.
#[tokio::test]
async fn a_host_that_is_cut_off_does_not_trust_its_list() {
    let service = Service::start(&[Some("v1"), Some("v2")], breaks_first).await;
    let addresses = Addresses::new();
    let _path = net::UdpSocket::bind(addresses.of(1, 2)).expect("path");
    let first = Mortal::start(addresses.options(0), 1).await;
    let options = edge::Options {
        load_listen: addresses.of(1, MOVED_LOAD_PORT),
        ..addresses.options(1)
    };
    let second = common::builds::start(options, 1).await;
    let hosts = [first.host.clone(), second.clone()];
    common::builds::wait_until_known(&hosts).await;
    for host in &hosts {
        service.list(host, 1, |_, build| build == Some("v1"));
    }
    wait_for_history(&hosts).await;
    // The other build joins; the second host does not hear of it.
    service.list(&first.host, 2, |_, build| build == Some("v2"));
    let cut = common::call(&first.host, &begin("a1")).await;
    assert_eq!((cut.is_whole, cut.text()), (false, whole(1, 2)));
    drop(hosts);
    first.kill().await;

    let rest = common::call(&second, &resume("b1", "a1")).await;
    assert_eq!(service.builds(&["a1", "b1"]), [Some("v2")]);
    assert_eq!(rest.status, 503, "{rest:?}");
    assert!(rest.header("retry-after").is_some(), "{rest:?}");
}

// Guards against a stream that goes on at a process of another build, which has started in
// the place of one that is still listed.
#[tokio::test]
async fn a_process_in_the_place_of_a_listed_one_does_not_go_on_with_its_stream() {
    let service = Service::start(&[Some("v1"), Some("v1")], breaks_first).await;
    let hosts = common::builds::hosts(1, 2).await;
    let host = hosts[0].clone();
    service.list(&host, 1, |_, _| true);
    let listed = service.0.iter().map(|(endpoint, _)| endpoint.listed());
    let started_again: Vec<plan::Endpoint> = listed
        .map(|listed| plan::Endpoint {
            started_ms: listed.started_ms + 1,
            build: Some("v2".to_owned()),
            ..listed
        })
        .collect();
    // The program, which reads the newest list when the host needs it.
    let reading = host.clone();
    let program = tokio::spawn(async move {
        loop {
            reading.refresh_wanted().await;
            let began = reading.now();
            reading.update_endpoints(|now, registry| {
                for endpoint in &started_again {
                    let entry = edge::Entry::Endpoint(endpoint.clone());
                    registry.put(now, &endpoint.id, entry, 2);
                }
            });
            reading.confirm_refresh(began);
        }
    });
    tokio::time::sleep(common::ms(50)).await;
    let answer = common::call(&host, &begin("a1")).await;
    program.abort();
    assert_eq!((answer.is_whole, answer.text()), (false, whole(1, 2)));
    assert_eq!(service.count(), 1, "the stream went on at another build");
}
