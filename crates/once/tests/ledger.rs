//! Tests of the record of keys.

use core::time::Duration;

use answer::Kind;
use once::{Decision, Ledger, Request};

const KEEP: Duration = Duration::from_secs(60);

fn request(key: &str) -> Request<'_> {
    Request {
        key,
        fingerprint: [1; 32],
        permit: Ok(()),
    }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ledger() -> Ledger<u32> {
    Ledger::new(KEEP, 2)
}

/// Ticks as a running host does, so that the time is not taken for a pause.
fn run(ledger: &mut Ledger<u32>, from: u64, to: u64) {
    for second in from..=to {
        ledger.tick(at(second));
    }
}

/// Guards against a second run of a repeat.
#[test]
fn repeats_wait_and_then_get_the_kept_answer() {
    let mut ledger = ledger();
    assert_eq!(ledger.admit(at(0), &request("k")), Decision::Run);
    assert_eq!(ledger.admit(at(0), &request("k")), Decision::Wait);
    assert!(ledger.start_dispatch("k"));
    assert!(!ledger.start_dispatch("k"), "one admission, one dispatch");
    ledger.complete(at(1), "k", 5);
    assert_eq!(ledger.admit(at(1), &request("k")), Decision::Replay(5));
    run(&mut ledger, 1, 60);
    assert_eq!(ledger.admit(at(60), &request("k")), Decision::Replay(5));
    ledger.tick(at(61));
    assert!(ledger.is_empty());
}

/// Guards against the answer of another request.
#[test]
fn another_request_with_the_key_is_refused() {
    let mut ledger = ledger();
    assert_eq!(ledger.admit(at(0), &request("k")), Decision::Run);
    let other = Request {
        fingerprint: [2; 32],
        ..request("k")
    };
    assert_eq!(
        ledger.admit(at(0), &other),
        Decision::Refuse(Kind::KeyReused)
    );
    ledger.complete(at(0), "k", 5);
    assert_eq!(
        ledger.admit(at(0), &other),
        Decision::Refuse(Kind::KeyReused)
    );
}

/// Guards against `not_run` for a request that an earlier lifetime ran under
/// a key that is closed here for a different request.
#[test]
fn closed_keys_answer_unknown_to_every_request() {
    let mut ledger = ledger();
    let closed = Request {
        permit: Err(Kind::OutcomeUnknown),
        ..request("k")
    };
    let unknown = Decision::Refuse(Kind::OutcomeUnknown);
    assert_eq!(ledger.admit(at(0), &closed), unknown);
    assert_eq!(
        ledger.admit(at(0), &request("k")),
        unknown,
        "permit given later"
    );
    let other = Request {
        fingerprint: [2; 32],
        ..request("k")
    };
    assert_eq!(ledger.admit(at(0), &other), unknown);
}

/// Guards against a repeat after an attempt that may have reached the
/// endpoint, and against a key that is lost although nothing was sent.
#[test]
fn failed_runs_repeat_only_when_nothing_was_sent() {
    let mut ledger = ledger();
    assert_eq!(ledger.admit(at(0), &request("k")), Decision::Run);
    let kind = ledger.fail(at(0), "k", false, Kind::EndpointConnect);
    assert_eq!(kind, Kind::EndpointConnect);
    assert_eq!(ledger.admit(at(0), &request("k")), Decision::Run);
    assert!(ledger.start_dispatch("k"));
    let kind = ledger.fail(at(0), "k", true, Kind::EndpointConnect);
    assert_eq!(kind, Kind::OutcomeUnknown);
    assert_eq!(
        ledger.admit(at(0), &request("k")),
        Decision::Refuse(Kind::OutcomeUnknown)
    );
    ledger.complete(at(0), "k", 5);
    assert_eq!(
        ledger.admit(at(0), &request("k")),
        Decision::Refuse(Kind::OutcomeUnknown),
        "a late answer does not reopen the key"
    );
}

/// Guards against early eviction and against `not_run` for an unsure key
/// when the memory is full.
#[test]
fn full_memory_refuses_new_keys_and_keeps_old_ones() {
    let mut ledger = ledger();
    for key in ["a", "b"] {
        assert_eq!(ledger.admit(at(0), &request(key)), Decision::Run);
        ledger.complete(at(0), key, 5);
    }
    assert_eq!(
        ledger.admit(at(0), &request("c")),
        Decision::Refuse(Kind::KeptFull)
    );
    let unsure = Request {
        permit: Err(Kind::OutcomeUnknown),
        ..request("d")
    };
    run(&mut ledger, 0, 30);
    assert_eq!(
        ledger.admit(at(30), &unsure),
        Decision::Refuse(Kind::OutcomeUnknown)
    );
    run(&mut ledger, 30, 89);
    assert!(ledger.is_empty());
    assert_eq!(
        ledger.admit(at(89), &request("d")),
        Decision::Refuse(Kind::KeptFull)
    );
    assert_eq!(ledger.admit(at(90), &request("d")), Decision::Run);
}

/// Guards against a repeat that waited in a socket while the process was
/// paused and finds its result forgotten.
#[test]
fn a_pause_does_not_age_results() {
    let mut ledger = ledger();
    assert_eq!(ledger.admit(at(0), &request("k")), Decision::Run);
    ledger.complete(at(0), "k", 5);
    assert_eq!(ledger.admit(at(3_600), &request("k")), Decision::Replay(5));
}
