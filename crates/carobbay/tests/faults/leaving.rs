//! Endpoints and hosts leave without a failed request.

use core::time;
use std::net;

use tokio::sync::watch;

use crate::booking;
use crate::fleet;
use crate::model;

/// How long callers keep a list of hosts.
const LIST_LIFE: time::Duration = time::Duration::from_secs(5);

/// Time for the news that a host leaves to reach the others, whose lists name
/// it until then.
const NEWS_TIME: time::Duration = time::Duration::from_secs(1);

/// Time after which an endpoint that leaves gets no new work.
const SETTLED: time::Duration = time::Duration::from_secs(4);

/// Guards against new work for an engine that drains, from any host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_engine_gets_no_new_work() {
    let engines: Vec<_> = (0..3).map(|_| model::engine(None)).collect();
    let settings = fleet::settings(&model::addresses(&engines), "");
    let fleet = fleet::Fleet::start(3, &settings).await;
    let load = model::Load::start(2, 9, fleet.running_addresses());
    load.progress(100).await;
    assert!(engines[0].counters().executions > 0, "the engine is used");
    engines[0].drain();
    tokio::time::sleep(SETTLED).await;
    let before = engines[0].counters();
    load.progress(300).await;
    let after = engines[0].counters();
    assert_eq!(after.executions, before.executions);
    assert_eq!(after.refused, before.refused, "the engine was asked");
    model::assert_whole(&load.end().await);
}

/// Guards against new work for an endpoint that the settings mark as leaving,
/// and against requests that fail when the settings are read again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_marked_as_leaving_gets_no_new_work() {
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
    tokio::time::sleep(SETTLED).await;
    let before = engines[0].counters().executions;
    load.progress(300).await;
    assert_eq!(engines[0].counters().executions, before);
    model::assert_whole(&load.end().await);
}

/// Guards against a host that is gone while callers still hold a list that
/// names it.
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
        accepted >= LIST_LIFE + NEWS_TIME,
        "connections were refused after {accepted:?}"
    );
    fleet.ended(0).await;
}

/// Guards against requests that fail while all hosts are replaced, one after
/// the other, for callers that use the hosts listed at the time.
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
    let (known, stopped) = watch::channel(fleet.running_addresses());
    let bookings = tokio::spawn(book(stopped));
    for host in 0..3 {
        load.progress(50).await;
        let leaving = fleet.caller(host);
        let witness = fleet.caller((host + 1) % 3);
        fleet.signal(host, "TERM");
        fleet::until("the host is no longer listed", async || {
            let listed = fleet::listed(witness).await;
            !listed.is_empty() && !listed.contains(&leaving)
        })
        .await;
        let listed = fleet::listed(witness).await;
        known.send_replace(listed.clone());
        load.use_hosts(listed);
        load.progress(50).await;
        fleet.ended(host).await;
        load.progress(50).await;
        fleet.boot(host);
        fleet.meet().await;
        let listed = fleet::listed(witness).await;
        known.send_replace(listed.clone());
        load.use_hosts(listed);
    }
    load.progress(50).await;
    model::assert_whole(&load.end().await);
    drop(known);
    let answers = bookings.await.expect("the caller does not panic");
    let count = answers.check(&service);
    println!("{count} bookings answered");
}

/// Books with minted keys at listed hosts until the sender of the list is gone;
/// each key is sent to another host than the one that minted it.
async fn book(listed: watch::Receiver<Vec<net::SocketAddr>>) -> booking::Answers {
    let answers = booking::Answers::default();
    for number in 0.. {
        if listed.has_changed().is_err() {
            break;
        }
        let read = tokio::time::Instant::now();
        let hosts = listed.borrow().clone();
        // A host that is leaving mints none; the others do.
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
        let outcome = booking::attempt(&call, address, booking::PATIENCE).await;
        assert!(
            outcome.is_whole(),
            "{tag} at {address}, listed {:?} ago: {outcome:?}",
            read.elapsed()
        );
        answers.note(&tag, outcome);
    }
    answers
}
