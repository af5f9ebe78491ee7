//! Bookings run at most once under faults.

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

/// Time-out of a caller that retries before the service has answered.
const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Time that the service takes for a booking, longer than [`SHORT_TIMEOUT`].
const SERVICE_DELAY: time::Duration = time::Duration::from_millis(400);
/// Silence of an owner: longer than the second for which a link waits, and shorter than
/// the time after which a host is taken for dead.
const SILENCE: time::Duration = time::Duration::from_millis(1_500);
/// Duration of a fault, longer than the lease in the settings.
const PAUSE: time::Duration = time::Duration::from_millis(2_500);

/// Guards against a confirmation that runs twice because its caller cancels it at one
/// host and sends it again to another one.
#[rstest]
#[case::own(false)]
#[case::minted(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_confirmation_sent_again_to_another_host_runs_once(#[case] minted: bool) {
    let service = booking::service(SERVICE_DELAY);
    let fleet = fleet::Fleet::start(3, &booking::settings(&service, 3)).await;
    booking::wait_until_ready(&fleet).await;
    let addresses = fleet.running_addresses();
    let answers = booking::Answers::default();
    for number in 0..9 {
        let first = number % addresses.len();
        let tag = format!("confirmation-{number}");
        let key = key(minted, addresses[first], &tag).await;
        let call = booking::booking(&tag, Some(&key));
        let outcome = booking::attempt(&call, addresses[first], SHORT_TIMEOUT).await;
        assert_eq!(
            outcome,
            load::Outcome::Cancelled,
            "the service answers late"
        );
        for step in 1..=addresses.len() {
            let address = addresses[(first + step) % addresses.len()];
            let outcome = booking::attempt(&call, address, booking::TIMEOUT).await;
            assert!(outcome.is_whole(), "{tag}: {outcome:?}");
            answers.record(&tag, outcome);
        }
    }
    assert_eq!(answers.check(&service), 9);
}

/// Guards against a booking that runs twice because the host that ran it was restarted
/// and the new process has no record of it.
#[rstest]
#[case::own(false)]
#[case::minted(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_is_not_doubled_by_a_host_restart(#[case] minted: bool) {
    let service = booking::service(time::Duration::from_millis(20));
    let mut fleet = fleet::Fleet::start(3, &booking::settings(&service, 3)).await;
    booking::wait_until_ready(&fleet).await;
    let answers = booking::Answers::default();
    let mut calls = Vec::new();
    for host in 0..3 {
        for number in 0..6 {
            let tag = format!("booking-{host}-{number}");
            let key = key(minted, fleet.caller(host), &tag).await;
            let call = booking::booking(&tag, Some(&key));
            let outcome = booking::attempt(&call, fleet.caller(host), booking::TIMEOUT).await;
            assert!(outcome.is_whole(), "{tag}: {outcome:?}");
            answers.record(&tag, outcome);
            calls.push(call);
        }
    }
    for host in 0..3 {
        fleet.kill(host);
        send_to_all(&fleet, &calls, &answers).await;
        fleet.boot(host);
        send_to_all(&fleet, &calls, &answers).await;
        fleet.wait_for_membership().await;
        booking::wait_until_ready(&fleet).await;
        send_to_all(&fleet, &calls, &answers).await;
    }
    assert_eq!(answers.check(&service), calls.len());
}

/// Guards against a booking whose answer is lost, although it runs and ends in time,
/// because the owner of its key is silent for longer than a link waits.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_is_answered_if_its_owner_is_silent_for_a_while(
    #[values(false, true)] minted: bool,
    #[values(false, true)] is_partition: bool,
) {
    let service = booking::service(time::Duration::from_millis(20));
    let fleet = fleet::Fleet::start(3, &booking::settings(&service, 3)).await;
    fleet.wait_for_membership().await;
    booking::wait_until_ready(&fleet).await;
    let slow = testkit::service::Reply {
        before: SILENCE * 2,
        ..testkit::service::Reply::default()
    };
    service.script([slow; 6]);
    let mut calls = Vec::new();
    for number in 0..6 {
        let tag = format!("silent-{number}");
        let key = key(minted, fleet.caller(number % 2), &tag).await;
        calls.push(booking::booking(&tag, Some(&key)));
    }
    let sends = calls
        .iter()
        .map(|call| booking::attempt(call, fleet.caller(2), booking::TIMEOUT));
    let silence = async {
        fleet::until("the bookings run", async || service.running() == 6).await;
        if is_partition {
            fleet.net.split(&[0, 1]);
        } else {
            (0..2).for_each(|host| fleet.signal(host, "STOP"));
        }
        tokio::time::sleep(SILENCE).await;
        fleet.net.heal();
        (0..2).for_each(|host| fleet.signal(host, "CONT"));
    };
    let (outcomes, ()) = tokio::join!(futures_util::future::join_all(sends), silence);
    let answers = booking::Answers::default();
    for (call, outcome) in calls.iter().zip(outcomes) {
        assert!(outcome.is_whole(), "{}: {outcome:?}", call.tag);
        answers.record(&call.tag, outcome);
    }
    assert_eq!(answers.check(&service), 6);
}

/// Guards against a host that was paused with queued bookings and runs them when it is
/// resumed, although a new process of the same name already ran their keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_host_does_not_run_what_its_successor_has_run() {
    let service = booking::service(time::Duration::from_millis(20));
    let settings = booking::settings(&service, 3)
        .replace("slots = 64", "slots = 1")
        // Makes keys without a request time acceptable soon after a restart.
        .replace("resend_max_age = 2m", "resend_max_age = 1500ms");
    let mut fleet = fleet::Fleet::start(3, &settings).await;
    booking::wait_until_ready(&fleet).await;
    let address = fleet.caller(0);
    fleet::until("keys without a request time are accepted", async || {
        let probes: Vec<load::Call> = untimed("probe", 12);
        let sends = probes
            .iter()
            .map(|call| booking::attempt(call, address, booking::TIMEOUT));
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
    // The first booking holds the only slot; the others wait in the queue.
    let mut calls = untimed("queued", 12);
    let sends = calls
        .iter()
        .map(|call| booking::attempt(call, address, SHORT_TIMEOUT));
    for (call, outcome) in calls
        .iter()
        .zip(futures_util::future::join_all(sends).await)
    {
        assert_eq!(
            outcome,
            load::Outcome::Cancelled,
            "the booking is queued or runs"
        );
        answers.record(&call.tag, outcome);
    }
    for host in 0..3 {
        fleet.signal(host, "STOP");
    }
    tokio::time::sleep(PAUSE).await;
    // Bookings that ran are not sent again: their callers observe `resend_max_age`.
    let ran = booking::runs(&service);
    calls.retain(|call| !ran.contains_key(&call.tag));
    assert!(!calls.is_empty(), "no booking is queued");
    let paused: Vec<_> = (0..3).map(|host| fleet.detach(host)).collect();
    for host in 0..3 {
        fleet.boot(host);
    }
    fleet.wait_for_membership().await;
    booking::wait_until_ready(&fleet).await;
    fleet::until("the new lifetimes run the bookings", async || {
        send_to_all(&fleet, &calls, &answers).await;
        let ran = booking::runs(&service);
        calls.iter().all(|call| ran.contains_key(&call.tag))
    })
    .await;
    for process in &paused {
        process.signal("CONT");
    }
    // A process that responds has also handled what was due during its pause.
    for process in &paused {
        fleet::until("the old process answers", async || {
            !fleet::listed(process.caller()).await.is_empty()
        })
        .await;
        for call in &calls {
            let outcome = booking::attempt(call, process.caller(), booking::TIMEOUT).await;
            answers.record(&call.tag, outcome);
        }
    }
    send_to_all(&fleet, &calls, &answers).await;
    drop(paused);
    answers.check(&service);
}

/// Returns bookings with keys of the caller and without a request time.
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

/// Guards against bookings that run twice, that run although every response said
/// `not_run`, or that were answered without a run, while hosts are killed, paused and
/// restarted and the network is partitioned.
#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bookings_run_at_most_once_under_faults(#[case] seed: u64) {
    const HOSTS: usize = 5;
    let service = booking::service(SERVICE_DELAY);
    let mut fleet = fleet::Fleet::start(HOSTS, &booking::settings(&service, HOSTS)).await;
    booking::wait_until_ready(&fleet).await;
    let answers = sync::Arc::new(booking::Answers::default());
    let (addresses, receiver) = tokio::sync::watch::channel(fleet.running_addresses());
    let callers: Vec<_> = (0..12)
        .map(|caller| tokio::spawn(book(caller, seed, receiver.clone(), answers.clone())))
        .collect();
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..5 {
        inject_fault(&mut fleet, &mut rng, &addresses).await;
    }
    drop(addresses);
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.expect("the caller does not panic"));
    }
    fleet.wait_for_membership().await;
    booking::wait_until_ready(&fleet).await;
    send_to_all(&fleet, &calls, &answers).await;
    let answered = answers.check(&service);
    println!(
        "seed {seed}: {answered} of {} bookings answered",
        calls.len()
    );
    assert!(answered > 0, "no booking was answered");
}

/// Injects one fault into the fleet and repairs it.
async fn inject_fault(
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
            // The paused process is resumed while its successor runs.
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

/// Sends bookings until the sender of the addresses is dropped; those with a key are sent
/// three times in a row to random hosts. Returns the bookings with a key, so that they
/// can be sent again at the end.
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
        let hosts = addresses.borrow().clone();
        let tag = format!("b-{caller}-{number}");
        let pick = |rng: &mut rand_pcg::Pcg64Mcg| *hosts.choose(rng).expect("there are hosts");
        let kind = rng.random_range(0..3);
        if kind == 0 {
            // A booking without a key must not be sent again.
            let call = booking::booking(&tag, None);
            let outcome = booking::attempt(&call, pick(&mut rng), booking::TIMEOUT).await;
            answers.record(&tag, outcome);
            continue;
        }
        let key = key(kind == 1, pick(&mut rng), &tag).await;
        let call = booking::booking(&tag, Some(&key));
        for timeout in [SHORT_TIMEOUT, SHORT_TIMEOUT, 4 * SERVICE_DELAY] {
            let outcome = booking::attempt(&call, pick(&mut rng), timeout).await;
            answers.record(&tag, outcome);
        }
        calls.push(call);
    }
    calls
}

/// Returns a key minted by the host at `address`, or the tag if it is not to be minted or
/// the host mints none.
async fn key(minted: bool, address: net::SocketAddr, tag: &str) -> String {
    let keys = if minted {
        booking::minted_keys(address).await
    } else {
        Vec::new()
    };
    keys.into_iter().next().unwrap_or_else(|| tag.to_owned())
}

/// Sends all bookings to every running host and records the outcomes.
pub async fn send_to_all(fleet: &fleet::Fleet, calls: &[load::Call], answers: &booking::Answers) {
    for address in fleet.running_addresses() {
        let sends = calls.iter().map(async |call| {
            let outcome = booking::attempt(call, address, booking::TIMEOUT).await;
            answers.record(&call.tag, outcome);
        });
        futures_util::future::join_all(sends).await;
    }
}
