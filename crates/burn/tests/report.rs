//! Merge of snapshots, reports and histograms.

use core::time;

use proptest::prelude::*;

fn snapshot(events: &[(u16, u32, usize, u64)]) -> burn::Snapshot {
    let attainments = [0.9, 0.99];
    let classes = ["a", "b"].into_iter().zip(attainments);
    let classes = classes.map(|(name, attainment)| burn::Class {
        name: name.to_owned(),
        attainment,
    });
    let options = burn::Options::new(classes.collect());
    let mut recorder = burn::Recorder::new(options, time::Duration::ZERO);
    let mut now = time::Duration::ZERO;
    for (class, team, kind, step) in events {
        now += time::Duration::from_secs(*step);
        let verdict = burn::Cause::ALL
            .get(*kind)
            .map(|cause| burn::Verdict::Bad(*cause));
        let event = burn::Event {
            class: *class,
            team_key: *team,
            team: &format!("<t{team}>"),
            verdict: verdict.unwrap_or(burn::Verdict::Good),
            time_to_first_token: Some(time::Duration::from_millis(step * 10)),
        };
        recorder.record(now, &event);
    }
    recorder.snapshot(now)
}

fn any_snapshot() -> impl Strategy<Value = burn::Snapshot> {
    let event = (0_u16..3, 0_u32..4, 0_usize..6, 0_u64..5_000);
    proptest::collection::vec(event, 0..40).prop_map(|events| snapshot(&events))
}

fn merged(parts: &[&burn::Snapshot]) -> burn::Snapshot {
    let mut sum = burn::Snapshot::default();
    for part in parts {
        sum.merge(part);
    }
    sum
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    /// Guards against a report that depends on the order in which hosts respond.
    #[test]
    fn merge_is_associative_and_commutative(
        a in any_snapshot(), b in any_snapshot(), mut c in any_snapshot(),
    ) {
        for objective in c.classes.values_mut() {
            objective.attainment = 0.95;
        }
        let left = merged(&[&merged(&[&a, &b]), &c]);
        let right = merged(&[&a, &merged(&[&b, &c])]);
        prop_assert_eq!(&left, &right);
        prop_assert_eq!(&left, &merged(&[&c, &b, &a]));
        prop_assert_eq!(&merged(&[&a, &burn::Snapshot::default()]), &a);
        let json = serde_json::to_string(&left).unwrap();
        prop_assert_eq!(&serde_json::from_str::<burn::Snapshot>(&json).unwrap(), &left);
    }

    /// Guards against panics and truncated output of the three formats.
    #[test]
    fn reports_render(snapshot in any_snapshot()) {
        let report = burn::Report::new(&snapshot);
        prop_assert!(report.text().lines().count() >= 4);
        prop_assert!(serde_json::from_str::<serde_json::Value>(&report.json().unwrap()).is_ok());
        let svg = report.svg();
        prop_assert!(svg.starts_with("<svg ") && svg.ends_with("</svg>\n"));
    }
}

/// Guards against a wrong burn rate, level or order of teams.
#[test]
fn report_gives_burn_rate_and_level() {
    let mut events = vec![(0, 1, 5, 0); 90];
    events.extend([(0, 2, 0, 0); 9]);
    events.push((0, 2, 3, 0));
    events.extend([(1, 1, 2, 0); 3]);
    let report = burn::Report::new(&snapshot(&events));
    let rows: Vec<_> = report
        .rows
        .iter()
        .map(|row| (&*row.class, row.team.as_deref()))
        .collect();
    let [team1, team2] = [Some("<t1>"), Some("<t2>")];
    let expected = [
        ("a", None),
        ("a", team2),
        ("a", team1),
        ("b", None),
        ("b", team1),
    ];
    assert_eq!(rows, expected);
    let burn = |row: usize| report.rows[row].windows[1].burn.unwrap();
    let expected = [1.0, 10.0, 0.0, 100.0, 100.0];
    for (row, expected) in expected.into_iter().enumerate() {
        assert!((burn(row) - expected).abs() < 1e-6, "{row}: {}", burn(row));
    }
    assert_eq!(report.rows[3].level, burn::report::Level::Page);
    assert_eq!(report.rows[2].level, burn::report::Level::Ok);
    let text = report.text();
    let line = text.lines().find(|line| line.starts_with("a ")).unwrap();
    assert!(line.ends_with("queue 9 refusal 1"), "{line}");
}

/// Guards against names that make the SVG invalid.
#[test]
fn svg_escapes_names() {
    let mut snapshot = snapshot(&[(0, 1, 0, 0)]);
    let objective = snapshot.classes["a"].clone();
    snapshot.classes.insert("<x>&\u{1}".to_owned(), objective);
    assert!(
        burn::Report::new(&snapshot)
            .svg()
            .contains(">&lt;x&gt;&amp; </text>")
    );
}

/// Guards against quantiles that are wrong by more than a bucket, and against a panic
/// on a histogram with too many buckets from a faulty host.
#[test]
fn quantiles_are_within_an_eighth() {
    let mut histogram = burn::Histogram::default();
    for ms in 1..=10_000 {
        histogram.record(time::Duration::from_millis(ms));
    }
    for (quantile, exact) in [(0.0, 1.0), (0.5, 5_000.0), (0.95, 9_500.0), (1.0, 10_000.0)] {
        let found = histogram.quantile(quantile).unwrap().as_secs_f64() * 1e3;
        assert!(
            found >= exact && found <= exact * 1.125,
            "{quantile}: {found}"
        );
    }
    histogram.record(time::Duration::MAX);
    assert!(histogram.quantile(1.0).unwrap() >= time::Duration::from_secs(3_600));
    assert_eq!(burn::Histogram::default().quantile(0.5), None);
    let wide = serde_json::to_string(&vec![1; 10_000]).unwrap();
    assert!(serde_json::from_str::<burn::Histogram>(&wide).is_err());
}
