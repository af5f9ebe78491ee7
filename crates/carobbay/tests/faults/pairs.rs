//! Two faults at once.

use core::time;
use std::sync;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;

use crate::booking;
use crate::fleet;
use crate::model;
use crate::once;

const HOSTS: usize = 5;
/// Pairs in a run, so that it stays below a minute.
const PAIRS: usize = 5;
/// Time for which a pair of faults lasts.
const LASTS: time::Duration = time::Duration::from_millis(2_500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Kill,
    Pause,
    Split,
    Crash,
    Slow,
}

const FAULTS: [Fault; 5] = [
    Fault::Kill,
    Fault::Pause,
    Fault::Split,
    Fault::Crash,
    Fault::Slow,
];

/// Guards against bookings that run twice and answers that are wrong when two
/// faults come at once, and against a fleet that does not recover.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn pairs_of_faults_break_nothing() {
    const SEED: u64 = 11;
    let service = booking::service(time::Duration::from_millis(300));
    let engines: Vec<_> = (0..3).map(|_| model::engine(None)).collect();
    let mut settings = booking::settings(&service, HOSTS);
    for (index, address) in model::addresses(&engines).into_iter().enumerate() {
        settings.push_str(&fleet::endpoint(index, address, ""));
    }
    let mut fleet = fleet::Fleet::start(HOSTS, &settings).await;
    booking::ready(&fleet).await;
    let answers = sync::Arc::new(booking::Answers::default());
    let (known, stopped) = tokio::sync::watch::channel(fleet.running_addresses());
    let callers: Vec<_> = (0..6)
        .map(|caller| tokio::spawn(once::book(caller, SEED, stopped.clone(), answers.clone())))
        .collect();
    drop(stopped);
    let load = model::Load::start(SEED, 6, fleet.running_addresses());
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(SEED);
    for _ in 0..PAIRS {
        let mut faults = FAULTS;
        faults.shuffle(&mut rng);
        let host = rng.random_range(0..HOSTS);
        let engine = &engines[rng.random_range(0..engines.len())];
        let pair = [(faults[0], host), (faults[1], (host + 1) % HOSTS)];
        println!("{pair:?}");
        for (fault, host) in pair {
            match fault {
                Fault::Kill => fleet.kill(host),
                Fault::Pause => fleet.signal(host, "STOP"),
                Fault::Split => fleet.net.split(&[host, (host + 2) % HOSTS]),
                Fault::Crash => engine.crash(),
                Fault::Slow => engine.set_slowdown(20.0),
            }
        }
        tokio::time::sleep(LASTS).await;
        for (fault, host) in pair {
            match fault {
                Fault::Kill => fleet.boot(host),
                Fault::Pause => fleet.signal(host, "CONT"),
                Fault::Split => fleet.net.heal(),
                Fault::Crash => engine.restart().await.expect("the port is kept"),
                Fault::Slow => engine.set_slowdown(1.0),
            }
        }
        known.send_replace(fleet.running_addresses());
        load.use_hosts(fleet.running_addresses());
        load.progress(20).await;
    }
    drop(known);
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.expect("the caller does not panic"));
    }
    let records = load.end().await;
    fleet.meet().await;
    booking::ready(&fleet).await;
    once::send_to_all(&fleet, &calls, &answers).await;
    let answered = answers.check(&service);
    println!("{answered} bookings answered, {} requests", records.len());
    assert!(answered > 0, "no booking was answered");
}
