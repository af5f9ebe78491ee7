//! Bookings run at most once.

use core::time;
use std::net;
use std::sync;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use rstest::rstest;
use testkit::load;

use crate::booking;
use crate::fleet;

/// Patience of a caller that sends again before the service has answered.
const HASTE: time::Duration = time::Duration::from_millis(150);
/// Time that the service takes for a booking, above the callers' patience.
const LATE: time::Duration = time::Duration::from_millis(400);
/// A pause above the lease of the settings.
const PAUSE: time::Duration = time::Duration::from_millis(2_500);

/// Guards against a confirmation that goes through twice because its caller
/// gives up on one host and sends it again to another one.
#[rstest]
#[case::own(false)]
#[case::minted(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_confirmation_sent_again_to_another_host_runs_once(#[case] minted: bool) {
    let service = booking::service(LATE);
    let fleet = fleet::Fleet::start(3, &booking::settings(&service, 3)).await;
    booking::ready(&fleet).await;
    let addresses = fleet.running_addresses();
    let answers = booking::Answers::default();
    for number in 0..9 {
        let first = number % addresses.len();
        let tag = format!("confirmation-{number}");
        let key = key(minted, addresses[first], &tag).await;
        let call = booking::booking(&tag, Some(&key));
        let outcome = booking::attempt(&call, addresses[first], HASTE).await;
        assert_eq!(
            outcome,
            load::Outcome::Cancelled,
            "the service answers late"
        );
        for step in 1..=addresses.len() {
            let address = addresses[(first + step) % addresses.len()];
            let outcome = booking::attempt(&call, address, booking::PATIENCE).await;
            assert!(outcome.is_whole(), "{tag}: {outcome:?}");
            answers.note(&tag, outcome);
        }
    }
    assert_eq!(answers.check(&service), 9);
}

/// Guards against a booking that is doubled because the host that ran it was
/// restarted and its next lifetime does not know the booking.
#[rstest]
#[case::own(false)]
#[case::minted(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_is_not_doubled_by_a_host_restart(#[case] minted: bool) {
    let service = booking::service(time::Duration::from_millis(20));
    let mut fleet = fleet::Fleet::start(3, &booking::settings(&service, 3)).await;
    booking::ready(&fleet).await;
    let answers = booking::Answers::default();
    let mut calls = Vec::new();
    for host in 0..3 {
        for number in 0..6 {
            let tag = format!("booking-{host}-{number}");
            let key = key(minted, fleet.caller(host), &tag).await;
            let call = booking::booking(&tag, Some(&key));
            let outcome = booking::attempt(&call, fleet.caller(host), booking::PATIENCE).await;
            assert!(outcome.is_whole(), "{tag}: {outcome:?}");
            answers.note(&tag, outcome);
            calls.push(call);
        }
    }
    for host in 0..3 {
        fleet.kill(host);
        send_to_all(&fleet, &calls, &answers).await;
        fleet.boot(host);
        send_to_all(&fleet, &calls, &answers).await;
        fleet.meet().await;
        booking::ready(&fleet).await;
        send_to_all(&fleet, &calls, &answers).await;
    }
    assert_eq!(answers.check(&service), calls.len());
}

/// Guards against a host that was paused with bookings in its queue and runs
/// them when it wakes, while a new lifetime of the same name serves their keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_host_does_not_run_what_its_successor_has_run() {
    let service = booking::service(time::Duration::from_millis(20));
    let settings = booking::settings(&service, 3)
        .replace("slots = 64", "slots = 1")
        // Keys without a time of their own may run soon after a restart.
        .replace("resend_max_age = 2m", "resend_max_age = 1500ms");
    let mut fleet = fleet::Fleet::start(3, &settings).await;
    booking::ready(&fleet).await;
    let address = fleet.caller(0);
    fleet::until("keys without a time are taken", async || {
        let probes: Vec<load::Call> = untimed("probe", 12);
        let sends = probes
            .iter()
            .map(|call| booking::attempt(call, address, booking::PATIENCE));
        let outcomes = futures_util::future::join_all(sends).await;
        outcomes.iter().all(load::Outcome::is_whole)
    })
    .await;
    let answers = booking::Answers::default();
    let slow = testkit::service::Reply {
        before: time::Duration::from_secs(1),
        ..testkit::service::Reply::default()
    };
    service.script([slow, slow, slow]);
    // The first one holds the only place; the others wait in the queue.
    let mut calls = untimed("queued", 12);
    let sends = calls
        .iter()
        .map(|call| booking::attempt(call, address, HASTE));
    for (call, outcome) in calls
        .iter()
        .zip(futures_util::future::join_all(sends).await)
    {
        assert_eq!(
            outcome,
            load::Outcome::Cancelled,
            "the booking is queued or runs"
        );
        answers.note(&call.tag, outcome);
    }
    for host in 0..3 {
        fleet.signal(host, "STOP");
    }
    tokio::time::sleep(PAUSE).await;
    // The callers of what has run keep to the longest time for sending again.
    let ran = booking::runs(&service);
    calls.retain(|call| !ran.contains_key(&call.tag));
    assert!(!calls.is_empty(), "no booking is queued");
    let paused: Vec<_> = (0..3).map(|host| fleet.detach(host)).collect();
    for host in 0..3 {
        fleet.boot(host);
    }
    fleet.meet().await;
    booking::ready(&fleet).await;
    fleet::until("the new lifetimes run the bookings", async || {
        send_to_all(&fleet, &calls, &answers).await;
        let ran = booking::runs(&service);
        calls.iter().all(|call| ran.contains_key(&call.tag))
    })
    .await;
    for process in &paused {
        process.signal("CONT");
    }
    // Each of the old processes answers, so it has done what was due.
    for process in &paused {
        fleet::until("the old process answers", async || {
            !fleet::listed(process.caller()).await.is_empty()
        })
        .await;
        for call in &calls {
            let outcome = booking::attempt(call, process.caller(), booking::PATIENCE).await;
            answers.note(&call.tag, outcome);
        }
    }
    send_to_all(&fleet, &calls, &answers).await;
    drop(paused);
    answers.check(&service);
}

/// Returns bookings with own keys whose callers state no time.
fn untimed(name: &str, count: usize) -> Vec<load::Call> {
    let start = rand::random::<u32>();
    (0..count)
        .map(|number| {
            let tag = format!("{name}-{start}-{number}");
            let mut call = booking::booking(&tag, Some(&tag));
            call.headers.retain(|(name, _)| name != "request-time");
            call
        })
        .collect()
}

/// Guards against bookings that run twice, that run although every answer said
/// that they had not, or that were answered without a run, while hosts are
/// killed, paused and restarted and the fleet is split.
#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bookings_run_at_most_once_under_faults(#[case] seed: u64) {
    const HOSTS: usize = 5;
    let service = booking::service(LATE);
    let mut fleet = fleet::Fleet::start(HOSTS, &booking::settings(&service, HOSTS)).await;
    booking::ready(&fleet).await;
    let answers = sync::Arc::new(booking::Answers::default());
    let (stop, stopped) = tokio::sync::watch::channel(fleet.running_addresses());
    let callers: Vec<_> = (0..12)
        .map(|caller| tokio::spawn(book(caller, seed, stopped.clone(), answers.clone())))
        .collect();
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..5 {
        disturb(&mut fleet, &mut rng, &stop).await;
    }
    drop(stop);
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.expect("the caller does not panic"));
    }
    fleet.meet().await;
    booking::ready(&fleet).await;
    send_to_all(&fleet, &calls, &answers).await;
    let answered = answers.check(&service);
    println!(
        "seed {seed}: {answered} of {} bookings answered",
        calls.len()
    );
    assert!(answered > 0, "no booking was answered");
}

/// Does one fault to the fleet and repairs it.
async fn disturb(
    fleet: &mut fleet::Fleet,
    rng: &mut rand_pcg::Pcg64Mcg,
    addresses: &tokio::sync::watch::Sender<Vec<net::SocketAddr>>,
) {
    let host = rng.random_range(0..fleet.running().len());
    let other = (host + 1) % fleet.running().len();
    match rng.random_range(0..4) {
        0 => {
            fleet.kill(host);
            tokio::time::sleep(PAUSE).await;
            fleet.boot(host);
            addresses.send_replace(fleet.running_addresses());
        }
        1 => {
            fleet.signal(host, "STOP");
            tokio::time::sleep(PAUSE).await;
            fleet.signal(host, "CONT");
        }
        2 => {
            fleet.net.split(&[host, other]);
            tokio::time::sleep(PAUSE * 2).await;
            fleet.net.heal();
        }
        _ => {
            // The paused lifetime wakes beside its successor.
            fleet.signal(host, "STOP");
            let old = fleet.detach(host);
            fleet.boot(host);
            addresses.send_replace(fleet.running_addresses());
            tokio::time::sleep(PAUSE).await;
            old.signal("CONT");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Books until the sender of the addresses is gone; most bookings are sent
/// again to other hosts at once. Returns what is to be sent again at the end.
pub async fn book(
    caller: u64,
    seed: u64,
    addresses: tokio::sync::watch::Receiver<Vec<net::SocketAddr>>,
    answers: sync::Arc<booking::Answers>,
) -> Vec<load::Call> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed * 1_000 + caller);
    let mut calls = Vec::new();
    for number in 0.. {
        if addresses.has_changed().is_err() {
            break;
        }
        let known = addresses.borrow().clone();
        let tag = format!("b-{caller}-{number}");
        let pick = |rng: &mut rand_pcg::Pcg64Mcg| *known.choose(rng).expect("there are hosts");
        let kind = rng.random_range(0..3);
        if kind == 0 {
            // Without a key there is one attempt only.
            let call = booking::booking(&tag, None);
            let outcome = booking::attempt(&call, pick(&mut rng), booking::PATIENCE).await;
            answers.note(&tag, outcome);
            continue;
        }
        let key = key(kind == 1, pick(&mut rng), &tag).await;
        let call = booking::booking(&tag, Some(&key));
        for patience in [HASTE, HASTE, 4 * LATE] {
            let outcome = booking::attempt(&call, pick(&mut rng), patience).await;
            answers.note(&tag, outcome);
        }
        calls.push(call);
    }
    calls
}

/// Returns a key of the caller's own or one that a host mints.
async fn key(minted: bool, address: net::SocketAddr, tag: &str) -> String {
    let keys = if minted {
        booking::minted_keys(address).await
    } else {
        Vec::new()
    };
    keys.into_iter().next().unwrap_or_else(|| tag.to_owned())
}

/// Sends all bookings again to every host.
pub async fn send_to_all(fleet: &fleet::Fleet, calls: &[load::Call], answers: &booking::Answers) {
    for address in fleet.running_addresses() {
        let sends = calls.iter().map(async |call| {
            let outcome = booking::attempt(call, address, booking::PATIENCE).await;
            answers.note(&call.tag, outcome);
        });
        futures_util::future::join_all(sends).await;
    }
}
