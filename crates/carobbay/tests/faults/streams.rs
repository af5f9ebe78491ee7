//! Answers are whole or end with an error.

use core::time;

use crate::fleet;
use crate::model;

/// Guards against tokens that are wrong, duplicated or out of order, and against cut
/// answers that end like whole ones, while hosts are killed and paused and engines crash
/// and slow down.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_stay_whole_while_hosts_and_engines_fail() {
    let engines: Vec<_> = (0..3).map(|_| model::engine(None)).collect();
    let settings = fleet::settings(&model::addresses(&engines), "");
    let mut fleet = fleet::Fleet::start(4, &settings).await;
    let load = model::Load::start(1, 12, fleet.running_addresses());
    load.progress(50).await;
    for host in 0..2 {
        fleet.kill(host);
        load.use_hosts(fleet.running_addresses());
        load.progress(50).await;
        fleet.boot(host);
        load.use_hosts(fleet.running_addresses());
        load.progress(50).await;
    }
    fleet.signal(3, "STOP");
    load.use_hosts((0..3).map(|host| fleet.caller(host)).collect());
    tokio::time::sleep(time::Duration::from_millis(2_500)).await;
    fleet.signal(3, "CONT");
    load.progress(50).await;
    for engine in &engines {
        engine.crash();
        load.progress(50).await;
        engine.restart().await.expect("the port is kept");
        engine.set_slowdown(20.0);
        load.progress(20).await;
        engine.set_slowdown(1.0);
    }
    let records = load.end().await;
    let count = |ended| records.iter().filter(|record| record.1 == ended).count();
    let (whole, cut) = (count(model::Outcome::Whole), count(model::Outcome::Cut));
    println!("{whole} of {} answers whole, {cut} cut", records.len());
    assert!(cut > 0, "the crashes cut no stream");
}

/// Guards against engine slots that stay in use after callers closed their connections,
/// whichever host they used.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hang_ups_free_the_places_of_engines() {
    let engine = model::engine_with(100_000, None);
    let settings = fleet::settings(&[engine.address()], "");
    let fleet = fleet::Fleet::start(3, &settings).await;
    let addresses = fleet.running_addresses();
    for round in 0..3 {
        let calls: Vec<_> = (0..8)
            .map(|number| {
                let address = addresses[number % addresses.len()];
                let tag = format!("h-{round}-{number}");
                tokio::spawn(async move {
                    let stream = number % 4 != 0;
                    model::send(&model::client(), address, &tag, "ward three", stream).await
                })
            })
            .collect();
        // The adaptive limit may admit fewer than the engine has slots.
        fleet::until("a request runs", async || {
            let counters = engine.counters();
            counters.executions > counters.cancelled
        })
        .await;
        for call in calls {
            call.abort();
        }
        fleet::until("every run is cancelled", async || {
            let counters = engine.counters();
            counters.executions == counters.cancelled
        })
        .await;
    }
}
