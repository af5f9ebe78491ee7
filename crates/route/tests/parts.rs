//! Tests of the retry budget, the length estimates and the quarantine.

use core::time::Duration;

use rand::{RngExt, SeedableRng};
use route::{Budget, Length, Quarantine, Verdict};

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

/// Guards against more than one retry per ten fresh requests.
#[test]
fn retries_are_a_tenth_of_fresh_requests() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        while budget.withdraw() {
            retries += 1;
        }
    }
    assert_eq!(retries, 1_000);
    (0..10_000).for_each(|_| budget.deposit());
    let saved = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(saved, 10);
}

/// Guards against estimates that do not follow a change of the output lengths.
#[test]
fn length_estimates_follow_the_class() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let mut length = Length::new();
    assert!(
        length.is_long(Some(4_000), 1_000),
        "only the bound is known"
    );
    (0..1_000).for_each(|_| length.observe(rng.random_range(20..60)));
    assert!(!length.is_long(Some(4_000), 1_000));
    assert!((30.0..50.0).contains(&length.mean(None)));
    (0..300).for_each(|_| length.observe(rng.random_range(2_000..6_000)));
    assert!(length.is_long(None, 1_000));
    assert!(!length.is_long(Some(100), 1_000));
    let middle = length.quantile(0.5);
    assert!((3_300.0..4_700.0).contains(&middle), "{middle}");
}

/// Guards against a request that crashes more than two endpoints, and against
/// suspects that only ran at the same endpoint as a poison request.
#[test]
fn two_crashed_endpoints_make_a_request_poison_and_clear_the_others() {
    let mut quarantine = Quarantine::new();
    for fingerprint in 1..=20 {
        quarantine.record_crash(SECOND, fingerprint, 0);
    }
    assert_eq!(quarantine.verdict(SECOND, 1), Verdict::Suspect);
    quarantine.clear(5);
    assert_eq!(quarantine.verdict(SECOND, 5), Verdict::Clear);
    quarantine.record_crash(2 * SECOND, 30, 1);
    quarantine.record_crash(2 * SECOND, 1, 1);
    quarantine.record_crash(2 * SECOND, 31, 1);
    assert_eq!(quarantine.verdict(2 * SECOND, 1), Verdict::Poison);
    for cleared in [2, 20, 30, 31] {
        assert_eq!(quarantine.verdict(2 * SECOND, cleared), Verdict::Clear);
    }
    let refused_until = quarantine.refused_until(1).unwrap();
    assert_eq!(quarantine.verdict(refused_until, 1), Verdict::Suspect);
    quarantine.evict_expired(2 * refused_until);
    assert!(quarantine.is_empty());
}

/// Guards against a request that crashes the only endpoint repeatedly, and against
/// one endpoint that is counted twice.
#[test]
fn one_endpoint_counts_once_until_its_third_crash() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(SECOND, 1, 0);
    quarantine.record_crash(9 * SECOND, 1, 0);
    assert_eq!(quarantine.verdict(9 * SECOND, 1), Verdict::Suspect);
    quarantine.record_crash(20 * SECOND, 1, 0);
    assert_eq!(quarantine.verdict(20 * SECOND, 1), Verdict::Poison);
}

/// Guards against memory that grows with the number of crashed requests.
#[test]
fn quarantine_is_bounded() {
    let mut quarantine = Quarantine::new();
    for fingerprint in 1..=100_000_u32 {
        quarantine.record_crash(fingerprint * MILLISECOND, u64::from(fingerprint), 0);
    }
    assert!(quarantine.len() <= 4_096);
    assert_eq!(quarantine.verdict(100 * SECOND, 100_000), Verdict::Suspect);
    assert_eq!(
        quarantine.verdict(Duration::from_secs(100), 1),
        Verdict::Clear
    );
}
