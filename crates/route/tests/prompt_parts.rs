//! Tests of the verdicts on prompt parts that were in flight at crashes.

use core::time;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use route::parts::{Crash, Quarantine};
use rstest::rstest;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Start of the crashes, long after the process.
const START: time::Duration = time::Duration::from_secs(100);

const SYSTEM: u64 = 1;
const BAD: u64 = 2;

fn crash(number: u64, parts: &[u64]) -> Crash {
    Crash {
        endpoint: number,
        request: 1_000 + number,
        parts: parts.to_vec(),
    }
}

fn record(quarantine: &mut Quarantine, crashes: &[Crash]) {
    for (second, crash) in (0..).zip(crashes) {
        quarantine.record(START + SECOND * second, crash.clone());
    }
}

fn poison(quarantine: &Quarantine) -> Vec<u64> {
    let mut poison: Vec<u64> = quarantine.poison().collect();
    poison.sort_unstable();
    poison
}

/// Guards against a part that crashes endpoints because other parts of its prompts
/// are refused in its place, or with it.
#[rstest]
#[case::beneath_a_shared_part(vec![vec![SYSTEM, BAD]; 3])]
#[case::above_parts_of_sessions((30..33).map(|part| vec![SYSTEM, BAD, part]).collect())]
#[case::beside_a_shared_part(
    vec![vec![SYSTEM, 30], vec![SYSTEM, BAD], vec![SYSTEM, BAD], vec![SYSTEM, BAD]]
)]
#[case::above_a_popular_session([30, 30, 30, 31, 32].map(|part| vec![BAD, part]).into())]
#[case::with_sessions_that_repeat([30, 31, 30, 31, 30, 31, 32].map(|part| vec![BAD, part]).into())]
fn the_part_that_all_crashes_share_is_refused_alone(#[case] prompts: Vec<Vec<u64>>) {
    let mut quarantine = Quarantine::new();
    // Sound requests share the first part.
    quarantine.complete(START - SECOND, [SYSTEM]);
    let crashes: Vec<Crash> = (1..).zip(&prompts).map(|(n, p)| crash(n, p)).collect();
    record(&mut quarantine, &crashes);
    assert_eq!(poison(&quarantine), [BAD]);
}

/// Guards against a first part that is refused with the part beneath it, where so
/// few requests share it that no complete answer on it is known.
#[test]
fn a_part_is_not_refused_for_crashes_that_a_later_part_explains() {
    let mut quarantine = Quarantine::new();
    let crashes: Vec<Crash> = (1..=6).map(|n| crash(n, &[SYSTEM, BAD])).collect();
    record(&mut quarantine, &crashes);
    quarantine.record(START + 9 * SECOND, crash(9, &[SYSTEM, 30]));
    assert_eq!(poison(&quarantine), [BAD]);
}

/// Guards against a popular part that is refused because it was in flight at all
/// endpoints that crashed at once.
#[test]
fn a_part_with_complete_answers_is_not_refused() {
    let mut quarantine = Quarantine::new();
    quarantine.complete(START - 5 * SECOND, [SYSTEM]);
    for number in 1..=5 {
        quarantine.record(START, crash(number, &[SYSTEM]));
    }
    assert_eq!(quarantine.find_poison([SYSTEM]), None);
    assert!(quarantine.suspicious(START, &[SYSTEM]).is_empty());
}

/// Guards against a part that turned bad, for example with a new build of its
/// endpoints, and stays trusted for earlier answers.
#[test]
fn a_part_that_completed_long_ago_is_refused() {
    let mut quarantine = Quarantine::new();
    quarantine.complete(START - 30 * SECOND, [BAD]);
    let crashes: Vec<Crash> = (1..=3).map(|n| crash(n, &[BAD])).collect();
    record(&mut quarantine, &crashes);
    assert_eq!(poison(&quarantine), [BAD]);
}

/// Guards against a sound part that stays refused although a request with it that
/// was in flight is answered.
#[test]
fn a_complete_answer_ends_the_refusal() {
    let mut quarantine = Quarantine::new();
    let crashes: Vec<Crash> = (1..=3).map(|n| crash(n, &[SYSTEM])).collect();
    record(&mut quarantine, &crashes);
    assert_eq!(quarantine.find_poison([7, SYSTEM]), Some(SYSTEM));
    let told = quarantine.complete(START + 4 * SECOND, [SYSTEM, 7]);
    assert_eq!(told, [SYSTEM], "other hosts are told of it");
    assert_eq!(quarantine.find_poison([7, SYSTEM]), None);
    let mut other = Quarantine::new();
    record(&mut other, &crashes);
    other.clear(START + 4 * SECOND, SYSTEM);
    assert_eq!(other.find_poison([SYSTEM]), None);
    let changes: Vec<bool> = other.take_changes().iter().map(|c| c.is_poison).collect();
    assert_eq!(changes, [true, false]);
}

/// Guards against the parts of a request that is resumed at several endpoints while
/// another one crashes them.
#[test]
fn one_request_at_several_crashes_counts_once() {
    let mut quarantine = Quarantine::new();
    for endpoint in 1..=4 {
        let crash = Crash {
            request: 5,
            ..crash(endpoint, &[SYSTEM])
        };
        quarantine.record(START + SECOND * endpoint as u32, crash);
    }
    assert_eq!(quarantine.find_poison([SYSTEM]), None);
}

/// Guards against hosts that disagree because reports reach them in another order,
/// more than once, or as evidence of a conviction.
#[test]
fn the_verdicts_depend_on_the_set_of_reports_alone() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let mut convictions = 0;
    for _ in 0..200 {
        let mut crashes: Vec<Crash> = (1..=12)
            .map(|number| {
                let parts = [rng.random_range(1..=2), rng.random_range(3..=6), 7 + number];
                Crash {
                    endpoint: number % 5,
                    ..crash(number, &parts[..rng.random_range(1..=3)])
                }
            })
            .collect();
        let expected = {
            let mut quarantine = Quarantine::new();
            record(&mut quarantine, &crashes);
            poison(&quarantine)
        };
        convictions += expected.len();
        crashes.extend_from_within(..4);
        crashes.shuffle(&mut rng);
        let mut quarantine = Quarantine::new();
        record(&mut quarantine, &crashes);
        assert_eq!(poison(&quarantine), expected, "{crashes:?}");
        for part in expected {
            let mut other = Quarantine::new();
            record(&mut other, &quarantine.evidence(part));
            assert_eq!(poison(&other), [part], "evidence convicts");
        }
    }
    assert!(convictions > 50, "{convictions} convictions");
}

/// Guards against state that grows with the number of crashes and of prompts, and
/// against convictions that are displaced by crashes of other causes.
#[test]
fn crashes_of_other_causes_do_not_displace_a_conviction() {
    let mut quarantine = Quarantine::new();
    let crashes: Vec<Crash> = (1..=3).map(|n| crash(n, &[BAD])).collect();
    record(&mut quarantine, &crashes);
    for number in 10..1_000 {
        quarantine.record(START, crash(number, &[1_000 + number]));
    }
    assert_eq!(quarantine.find_poison([BAD]), Some(BAD));
    quarantine.evict_expired(START + 10_000 * SECOND);
    assert_eq!(quarantine.find_poison([BAD]), None);
    assert!(!quarantine.record(START, crash(1, &[])), "no part to blame");
}

/// Guards against a prompt of which only the last parts are known, and against parts that
/// count as new ones when their message arrives late.
#[rstest]
#[case::in_order(&[0, 64, 128])]
#[case::against_the_order(&[128, 64, 0])]
#[case::repeated(&[64, 0, 64, 128, 0])]
fn a_part_of_a_prompt_that_comes_in_pieces_is_refused_alone(#[case] offsets: &[usize]) {
    let mut quarantine = Quarantine::new();
    let prompt = |number: u64| -> Vec<u64> {
        let mut parts: Vec<u64> = (10_000..10_150).collect();
        parts[100] = BAD;
        // The parts after the bad one belong to few requests.
        parts[101..]
            .iter_mut()
            .for_each(|part| *part += number * 1_000);
        parts
    };
    quarantine.complete(START - SECOND, 10_000..10_100);
    for number in 1..=3 {
        let parts = prompt(number);
        for &offset in offsets {
            let end = parts.len().min(offset + 64);
            quarantine.record_from(
                START + SECOND * number as u32,
                offset,
                &crash(number, &parts[offset..end]),
            );
        }
    }
    assert_eq!(poison(&quarantine), [BAD]);
}

/// Guards against long prompts that take the room of all crashes.
#[test]
fn the_parts_of_all_crashes_are_bounded_and_evidence_goes_last() {
    let mut quarantine = Quarantine::new();
    record(
        &mut quarantine,
        &(1..=3).map(|n| crash(n, &[BAD])).collect::<Vec<_>>(),
    );
    for number in 10..60 {
        let parts: Vec<u64> = (0..1_024).map(|part| number * 10_000 + part).collect();
        quarantine.record(START + 5 * SECOND, crash(number, &parts));
    }
    assert_eq!(poison(&quarantine), [BAD]);
}
