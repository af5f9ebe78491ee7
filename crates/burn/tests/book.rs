//! Recorder, windows and verdicts of one host.

use core::time;

use burn::Cause;
use burn::Verdict;
use proptest::prelude::*;

const START: time::Duration = time::Duration::from_secs(1_000);

fn classes(names: &[&str]) -> Vec<burn::Class> {
    let class = |name: &&str| burn::Class {
        name: (*name).to_owned(),
        attainment: 0.9,
    };
    names.iter().map(class).collect()
}

fn recorder(names: &[&str], series_max: usize) -> burn::Recorder {
    let mut options = burn::Options::new(classes(names));
    options.series_max = series_max;
    burn::Recorder::new(options, START)
}

fn event(class: u16, team_key: u32, team: &str, verdict: Verdict) -> burn::Event<'_> {
    burn::Event {
        class,
        team_key,
        team,
        verdict,
        time_to_first_token: Some(time::Duration::from_millis(100)),
    }
}

fn requests(recorder: &burn::Recorder, class: &str, now: time::Duration) -> [u64; 4] {
    recorder
        .snapshot(now)
        .class_totals(class)
        .map(|totals| totals.requests())
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against buckets that outlast their window or are cleared early, also
    /// after long pauses, by comparison with a list of all requests.
    #[test]
    fn windows_match_a_list_of_requests(
        steps in proptest::collection::vec((0_u64..4, 0_u64..100_000, 0_usize..5), 1..80),
    ) {
        let mut recorder = recorder(&["a"], 8);
        let mut now = START;
        let mut all = Vec::new();
        for (scale, step, kind) in steps {
            now += time::Duration::from_secs(step / [10_000, 100, 10, 1][scale as usize]);
            let verdict = [Cause::Queue, Cause::Endpoint, Cause::Retry, Cause::Refusal]
                .get(kind)
                .map_or(Verdict::Good, |cause| Verdict::Bad(*cause));
            recorder.record(now, &event(0, 1, "t", verdict));
            all.push((now, verdict));
            let totals = recorder.snapshot(now).class_totals("a");
            for (window, totals) in burn::Window::ALL.into_iter().zip(totals) {
                let bucket = |time: time::Duration| time.as_secs() / (window.length().as_secs() / 12);
                let inside = all.iter().filter(|(time, _)| bucket(*time) + 12 > bucket(now));
                let inside: Vec<_> = inside.map(|(_, verdict)| *verdict).collect();
                let count = |wanted| inside.iter().filter(|verdict| **verdict == wanted).count();
                prop_assert_eq!(totals.good, count(Verdict::Good) as u64);
                for cause in Cause::ALL {
                    prop_assert_eq!(totals.bad_by_cause(cause), count(Verdict::Bad(cause)) as u64);
                }
            }
        }
    }
}

/// Guards against buckets that expire only when a request arrives, and against a
/// panic or a lost request when time goes backwards.
#[test]
fn windows_expire_without_requests() {
    let mut recorder = recorder(&["a"], 8);
    recorder.record(START, &event(0, 1, "t", Verdict::Good));
    let after = |seconds| requests(&recorder, "a", START + time::Duration::from_secs(seconds));
    assert_eq!(after(0), [1, 1, 1, 1]);
    assert_eq!(after(300), [0, 1, 1, 1]);
    assert_eq!(after(3_600), [0, 0, 1, 1]);
    assert_eq!(after(6 * 3_600), [0, 0, 0, 1]);
    assert_eq!(after(3 * 86_400), [0, 0, 0, 0]);
    let late = START + time::Duration::from_secs(400);
    recorder.record(late, &event(0, 1, "t", Verdict::Good));
    recorder.record(START, &event(0, 1, "t", Verdict::Good));
    assert_eq!(requests(&recorder, "a", late), [2, 3, 3, 3]);
}

/// Guards against memory that grows with the number of teams, and against requests
/// of further teams that are not counted.
#[test]
fn series_are_bounded() {
    let mut recorder = recorder(&["a", "b"], 100);
    for team in 0..2_500_u32 {
        for class in 0..2 {
            let name = format!("t{team}");
            recorder.record(START, &event(class, team, &name, Verdict::Good));
        }
    }
    assert_eq!(recorder.len(), 102);
    assert_eq!(requests(&recorder, "a", START), [2_500; 4]);
    let snapshot = recorder.snapshot(START);
    assert_eq!(snapshot.series["a"]["other"][0].good, 2_450);
    let later = START + burn::Window::Days3.length();
    recorder.record(later, &event(0, 9_999, "new", Verdict::Good));
    assert_eq!(recorder.len(), 1, "idle series make room");
    assert!(recorder.snapshot(later).series["a"].contains_key("new"));
    // 2,500 teams in two classes each stay within a quarter of 32 MB.
    let bytes = burn::Recorder::series_bytes();
    assert!(bytes * 5_000 <= 8 << 20, "{bytes} bytes per series");
}

/// Guards against requests that are counted for another class after the classes
/// changed position.
#[test]
fn series_follow_their_class() {
    let mut recorder = recorder(&["b", "c"], 8);
    recorder.record(START, &event(0, 1, "t", Verdict::Good));
    recorder.record(START, &event(1, 1, "t", Verdict::Bad(Cause::Queue)));
    recorder.set_classes(classes(&["a", "b"]), START);
    recorder.record(START, &event(1, 1, "t", Verdict::Good));
    recorder.record(START, &event(7, 1, "t", Verdict::Good));
    let snapshot = recorder.snapshot(START);
    assert_eq!(snapshot.class_totals("a")[0].requests(), 0);
    assert_eq!(snapshot.class_totals("b")[0].good, 2);
    assert_eq!(snapshot.class_totals("c")[0].requests(), 0);
    assert_eq!(snapshot.classes["b"].latency.count(), 2);
}

/// Guards against a missed target that is attributed to the wrong cause.
#[rstest::rstest]
#[case(100, 90, None, false, true, Verdict::Good)]
#[case(101, 90, None, false, true, Verdict::Bad(Cause::Queue))]
#[case(101, 10, None, false, true, Verdict::Bad(Cause::Endpoint))]
#[case(101, 90, None, true, true, Verdict::Bad(Cause::Retry))]
#[case(100, 90, None, true, true, Verdict::Good)]
#[case(100, 90, Some(20), false, true, Verdict::Good)]
#[case(100, 90, Some(21), false, true, Verdict::Bad(Cause::Endpoint))]
#[case(100, 90, None, false, false, Verdict::Bad(Cause::Endpoint))]
fn verdict_names_the_main_cause(
    #[case] first: u64,
    #[case] queue: u64,
    #[case] gap: Option<u64>,
    #[case] retried: bool,
    #[case] complete: bool,
    #[case] expected: Verdict,
) {
    let sample = burn::Sample {
        time_to_first_token: time::Duration::from_millis(first),
        queue_time: time::Duration::from_millis(queue),
        gap: gap.map(time::Duration::from_millis),
        is_retried: retried,
        is_complete: complete,
        target_first: time::Duration::from_millis(100),
        target_gap: Some(time::Duration::from_millis(20)),
    };
    assert_eq!(sample.verdict(), expected);
}
