//! Endpoints and hosts are removed without a failed request.

use core::time;
use std::net;

use tokio::sync::watch;

use crate::booking;
use crate::fleet;
use crate::model;

/// Time for which callers may use a list of hosts.
const LIST_TTL: time::Duration = time::Duration::from_secs(5);

/// Time until the other hosts learn that a host is leaving; their lists include it until
/// then.
const PROPAGATION_TIME: time::Duration = time::Duration::from_secs(1);

/// Time after which a leaving endpoint receives no new requests.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Guards against hosts that send new requests to a draining engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_engine_receives_no_new_requests() {
    let engines: Vec<_> = (0..3).map(|_| model::engine(None)).collect();
    let settings = fleet::settings(&model::addresses(&engines), "");
    let fleet = fleet::Fleet::start(3, &settings).await;
    let load = model::Load::start(2, 9, fleet.running_addresses());
    load.progress(100).await;
    assert!(engines[0].counters().executions > 0, "the engine is used");
    engines[0].drain();
    tokio::time::sleep(SETTLE_TIME).await;
    let before = engines[0].counters();
    load.progress(300).await;
    let after = engines[0].counters();
    assert_eq!(after.executions, before.executions);
    assert_eq!(
        after.refused, before.refused,
        "the engine received a request"
    );
    model::assert_whole(&load.end().await);
}

/// Guards against new requests to an endpoint that the settings mark as leaving, and
/// against requests that fail when the settings are reloaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_marked_as_leaving_receives_no_new_requests() {
    let engines: Vec<_> = (0..3).map(|_| model::engine(None)).collect();
    let addresses = model::addresses(&engines);
    let fleet = fleet::Fleet::start(3, &fleet::settings(&addresses, "")).await;
    let load = model::Load::start(3, 9, fleet.running_addresses());
    load.progress(100).await;
    assert!(engines[0].counters().executions > 0, "the engine is used");
    let mut settings = fleet::settings(&[], "");
    for (index, address) in addresses.iter().enumerate() {
        let further = if index == 0 { "leaving = true\n" } else { "" };
        settings.push_str(&fleet::endpoint(index, *address, further));
    }
    for host in fleet.running() {
        fleet.configure(host, &settings);
        fleet.signal(host, "HUP");
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let before = engines[0].counters().executions;
    load.progress(300).await;
    assert_eq!(engines[0].counters().executions, before);
    model::assert_whole(&load.end().await);
}

/// Guards against a host that stops accepting connections while callers still use a list
/// that includes it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_host_accepts_callers_for_the_life_of_a_list() {
    let engine = model::engine(None);
    let settings = fleet::settings(&[engine.address()], "");
    let mut fleet = fleet::Fleet::start(2, &settings).await;
    let leaving = fleet.caller(0);
    let start = tokio::time::Instant::now();
    fleet.signal(0, "TERM");
    while tokio::net::TcpStream::connect(leaving).await.is_ok() {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let accepted = start.elapsed();
    assert!(
        accepted >= LIST_TTL + PROPAGATION_TIME,
        "connections were refused after {accepted:?}"
    );
    fleet.wait_for_exit(0).await;
}

/// Guards against requests that fail while all hosts are restarted one after the other
/// and callers use the hosts listed at the time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_fails_no_request() {
    let engines: Vec<_> = (0..2).map(|_| model::engine(None)).collect();
    let service = booking::service(time::Duration::from_millis(50));
    let mut settings = booking::settings(&service, 3);
    for (index, address) in model::addresses(&engines).into_iter().enumerate() {
        settings.push_str(&fleet::endpoint(index, address, ""));
    }
    let mut fleet = fleet::Fleet::start(3, &settings).await;
    let load = model::Load::start(4, 9, fleet.running_addresses());
    let (addresses, receiver) = watch::channel(fleet.running_addresses());
    let bookings = tokio::spawn(book(receiver));
    for host in 0..3 {
        load.progress(50).await;
        let leaving = fleet.caller(host);
        let observer = fleet.caller((host + 1) % 3);
        fleet.signal(host, "TERM");
        fleet::until("the host is no longer listed", async || {
            let listed = fleet::listed(observer).await;
            !listed.is_empty() && !listed.contains(&leaving)
        })
        .await;
        let listed = fleet::listed(observer).await;
        addresses.send_replace(listed.clone());
        load.use_hosts(listed);
        load.progress(50).await;
        fleet.wait_for_exit(host).await;
        load.progress(50).await;
        fleet.boot(host);
        fleet.wait_for_membership().await;
        let listed = fleet::listed(observer).await;
        addresses.send_replace(listed.clone());
        load.use_hosts(listed);
    }
    load.progress(50).await;
    model::assert_whole(&load.end().await);
    drop(addresses);
    let answers = bookings.await.expect("the caller does not panic");
    let count = answers.check(&service);
    println!("{count} bookings answered");
}

/// Sends bookings with minted keys to listed hosts until the sender of the list is
/// dropped. Each key goes to a host other than the one that minted it.
async fn book(listed: watch::Receiver<Vec<net::SocketAddr>>) -> booking::Answers {
    let answers = booking::Answers::default();
    for number in 0.. {
        if listed.has_changed().is_err() {
            break;
        }
        let read_at = tokio::time::Instant::now();
        let hosts = listed.borrow().clone();
        // A leaving host mints no keys.
        let mut keys = Vec::new();
        for step in 0..hosts.len() {
            if keys.is_empty() {
                keys = booking::minted_keys(hosts[(number + step) % hosts.len()]).await;
            }
        }
        let key = keys.first().expect("a listed host mints keys");
        let tag = format!("rolling-{number}");
        let call = booking::booking(&tag, Some(key));
        let address = hosts[(number + 1) % hosts.len()];
        let outcome = booking::attempt(&call, address, booking::TIMEOUT).await;
        assert!(
            outcome.is_whole(),
            "{tag} at {address}, listed {:?} ago: {outcome:?}",
            read_at.elapsed()
        );
        answers.record(&tag, outcome);
    }
    answers
}
