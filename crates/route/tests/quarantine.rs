//! Tests of the verdicts on requests that were in flight at crashes.

use core::time;

use route::{Effect, Quarantine, Verdict};
use rstest::rstest;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Request that crashes the endpoints that run it.
const CULPRIT: u64 = 7;

/// Request that ran beside it twice.
const BYSTANDER: u64 = 1_000;

/// Guards against a request that stays clear because another one, which ran beside
/// it at both crashes, was reported first.
#[rstest]
#[case::the_culprit_first([CULPRIT, BYSTANDER])]
#[case::the_bystander_first([BYSTANDER, CULPRIT])]
fn a_conviction_does_not_remove_evidence_against_others(#[case] order: [u64; 2]) {
    let mut quarantine = Quarantine::new();
    for endpoint in 1..=2 {
        for fingerprint in order.into_iter().chain(2_000..2_022) {
            let at = SECOND * 10 * endpoint as u32;
            quarantine.record_report(
                at,
                fingerprint + u64::from(fingerprint >= 2_000) * endpoint * 100,
                endpoint,
            );
        }
    }
    assert_eq!(quarantine.verdict(21 * SECOND, CULPRIT), Verdict::Poison);
}

/// Guards against hosts that disagree because reports reach them in another order.
#[test]
fn the_verdicts_do_not_depend_on_the_order_of_reports() {
    let mut reports: Vec<(u64, u64)> = (1..=3)
        .flat_map(|endpoint| (1..=20).map(move |request| (request * endpoint % 23 + 1, endpoint)))
        .collect();
    let verdicts = |reports: &[(u64, u64)]| {
        let mut quarantine = Quarantine::new();
        for &(fingerprint, endpoint) in reports {
            quarantine.record_report(SECOND, fingerprint, endpoint);
        }
        (1..=24)
            .map(|fingerprint| quarantine.verdict(SECOND, fingerprint) == Verdict::Poison)
            .collect::<Vec<_>>()
    };
    let expected = verdicts(&reports);
    assert!(expected.contains(&true) && expected.contains(&false));
    for _ in 0..reports.len() {
        reports.rotate_left(7);
        assert_eq!(verdicts(&reports), expected);
        reports.reverse();
        assert_eq!(verdicts(&reports), expected);
    }
}

/// Guards against one crash that convicts a request because several hosts, or one
/// several times, report it.
#[test]
fn a_repeated_report_counts_once() {
    let mut quarantine = Quarantine::new();
    assert_eq!(quarantine.record_report(SECOND, 1, 5), Effect::Counted);
    for round in 2..60 {
        assert_eq!(
            quarantine.record_report(round * SECOND, 1, 5),
            Effect::Ignored
        );
    }
    assert_eq!(quarantine.verdict(60 * SECOND, 1), Verdict::Suspect);
    assert_eq!(
        quarantine.record_report(60 * SECOND, 1, 6),
        Effect::Convicted
    );
    assert_eq!(quarantine.record_report(61 * SECOND, 1, 6), Effect::Ignored);
}

/// Guards against one crash that convicts a request because several of its runs at
/// the endpoint failed.
#[test]
fn failures_within_two_seconds_are_one_crash() {
    let mut quarantine = Quarantine::new();
    for failure in 0..5 {
        quarantine.record_crash(SECOND + failure * SECOND / 5, 1, 5);
    }
    assert_eq!(quarantine.verdict(2 * SECOND, 1), Verdict::Suspect);
}

/// Guards against a late report that convicts a request that has completed since.
#[test]
fn a_completed_run_discounts_earlier_crashes_for_good() {
    let mut quarantine = Quarantine::new();
    quarantine.record_report(SECOND, 1, 5);
    quarantine.clear(1);
    assert_eq!(quarantine.verdict(2 * SECOND, 1), Verdict::Clear);
    quarantine.record_report(3 * SECOND, 1, 5);
    quarantine.record_report(4 * SECOND, 1, 6);
    assert_eq!(quarantine.verdict(4 * SECOND, 1), Verdict::Suspect);
    quarantine.record_report(5 * SECOND, 1, 7);
    assert_eq!(quarantine.verdict(5 * SECOND, 1), Verdict::Poison);
}

/// Guards against poison requests that are forgotten when crashes leave thousands
/// of suspects.
#[test]
fn suspects_do_not_displace_poison_requests() {
    let mut quarantine = Quarantine::new();
    quarantine.record_report(SECOND, 1, 5);
    quarantine.record_report(SECOND, 1, 6);
    for fingerprint in 2..20_000 {
        quarantine.record_report(2 * SECOND, fingerprint, 7);
    }
    assert_eq!(quarantine.verdict(3 * SECOND, 1), Verdict::Poison);
    assert_eq!(quarantine.poison(3 * SECOND), [(1, vec![5, 6])]);
    assert!(quarantine.len() <= 4_096);
}
