//! Tests of the record of keys.

use core::time::Duration;

use answer::Kind;
use once::{Decision, Ledger, Request};

const RETENTION: Duration = Duration::from_secs(60);

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
    Ledger::new(RETENTION, 2)
}

/// Ticks every second, so that the time does not count as a pause.
fn run(ledger: &mut Ledger<u32>, from: u64, to: u64) {
    for second in from..=to {
        ledger.tick(at(second));
    }
}

/// Guards against a repeat that runs a second time.
#[test]
fn repeats_wait_and_then_get_the_stored_answer() {
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

/// Guards against a request that gets the answer of a different request with
/// the same key.
#[test]
fn a_different_request_with_the_same_key_is_refused() {
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

/// Guards against `not_run` for a request that an earlier lifetime may have run,
/// where its key is closed here by a different request.
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
        "the permit is granted later"
    );
    let other = Request {
        fingerprint: [2; 32],
        ..request("k")
    };
    assert_eq!(ledger.admit(at(0), &other), unknown);
}

/// Guards against a second run after an attempt that may have reached the
/// endpoint, and against a key that stays closed although nothing was sent.
#[test]
fn failed_runs_may_repeat_only_if_nothing_was_sent() {
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

/// Guards against early eviction, and against `not_run` for a key of unknown
/// outcome, when the ledger is full.
#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let mut ledger = ledger();
    for key in ["a", "b"] {
        assert_eq!(ledger.admit(at(0), &request(key)), Decision::Run);
        ledger.complete(at(0), key, 5);
    }
    assert_eq!(
        ledger.admit(at(0), &request("c")),
        Decision::Refuse(Kind::KeptFull)
    );
    let unknown = Request {
        permit: Err(Kind::OutcomeUnknown),
        ..request("d")
    };
    run(&mut ledger, 0, 30);
    assert_eq!(
        ledger.admit(at(30), &unknown),
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

/// Guards against a result that expires during a pause of the process, so that
/// a repeat that waited in a socket runs again.
#[test]
fn a_pause_does_not_age_stored_answers() {
    let mut ledger = ledger();
    assert_eq!(ledger.admit(at(0), &request("k")), Decision::Run);
    ledger.complete(at(0), "k", 5);
    assert_eq!(ledger.admit(at(3_600), &request("k")), Decision::Replay(5));
}
