//! Invariants while two faults occur at the same time.

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
/// Number of pairs; with five, the test takes less than a minute.
const PAIRS: usize = 5;
/// Duration of a pair of faults.
const FAULT_DURATION: time::Duration = time::Duration::from_millis(2_500);

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

/// Guards against bookings that run twice and wrong answers when two faults occur at the
/// same time, and against a fleet that does not recover.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invariants_hold_under_pairs_of_faults() {
    const SEED: u64 = 11;
    let service = booking::service(time::Duration::from_millis(300));
    let engines: Vec<_> = (0..3).map(|_| model::engine(None)).collect();
    let mut settings = booking::settings(&service, HOSTS);
    for (index, address) in model::addresses(&engines).into_iter().enumerate() {
        settings.push_str(&fleet::endpoint(index, address, ""));
    }
    let mut fleet = fleet::Fleet::start(HOSTS, &settings).await;
    booking::wait_until_ready(&fleet).await;
    let answers = sync::Arc::new(booking::Answers::default());
    let (addresses, receiver) = tokio::sync::watch::channel(fleet.running_addresses());
    let callers: Vec<_> = (0..6)
        .map(|caller| tokio::spawn(once::book(caller, SEED, receiver.clone(), answers.clone())))
        .collect();
    drop(receiver);
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
        tokio::time::sleep(FAULT_DURATION).await;
        for (fault, host) in pair {
            match fault {
                Fault::Kill => fleet.boot(host),
                Fault::Pause => fleet.signal(host, "CONT"),
                Fault::Split => fleet.net.heal(),
                Fault::Crash => engine.restart().await.expect("the port is kept"),
                Fault::Slow => engine.set_slowdown(1.0),
            }
        }
        addresses.send_replace(fleet.running_addresses());
        load.use_hosts(fleet.running_addresses());
        load.progress(20).await;
    }
    drop(addresses);
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.expect("the caller does not panic"));
    }
    let records = load.end().await;
    fleet.wait_for_membership().await;
    booking::wait_until_ready(&fleet).await;
    once::send_to_all(&fleet, &calls, &answers).await;
    let answered = answers.check(&service);
    println!("{answered} bookings answered, {} requests", records.len());
    assert!(answered > 0, "no booking was answered");
}
