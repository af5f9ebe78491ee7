//! Tests of the library of the program `measure`.

use core::time;

use testkit::measure;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn table(values: &[(&str, f64)]) -> measure::Table {
    let mut table = measure::Table::default();
    for (name, value) in values {
        table.set(*name, *value);
    }
    table
}

/// Guards against a summary that mixes up seeds or includes missing figures.
#[test]
fn summary_gives_median_and_range() {
    let seeds = [3.0, 1.0, 10.0, 4.0].map(|value| table(&[("a", value)]));
    let mut seeds = seeds.to_vec();
    seeds[0].set("b", 7.0);
    seeds[1].set("b", f64::NAN);
    let summary = measure::Summary {
        policy: "current",
        seeds,
    };
    let row = |median, least, most| {
        Some(measure::Row {
            median,
            least,
            most,
        })
    };
    assert_eq!(summary.names(), ["a", "b"]);
    assert_eq!(summary.row("a"), row(3.5, 1.0, 10.0));
    assert_eq!(summary.row("b"), row(7.0, 7.0, 7.0));
    assert_eq!(summary.row("c"), None);
}

/// Guards against a scenario whose demand differs from its stated utilisation.
#[rstest::rstest]
#[case(measure::Shape::kalahari(), measure::Scenario::Steady, 0.7)]
#[case(measure::Shape::kalahari(), measure::Scenario::Crest, 0.8)]
#[case(measure::Shape::ganci_alpini(), measure::Scenario::Stragglers, 0.95)]
fn demand_matches_the_stated_utilisation(
    #[case] shape: measure::Shape,
    #[case] scenario: measure::Scenario,
    #[case] expected: f64,
) {
    let mut demand = 0.0;
    for flow in shape.flows(scenario, SECOND) {
        let mut classes = shape.classes.iter();
        let index = classes.position(|class| class.name == flow.class).unwrap();
        if let measure::Work::Model { prompt, .. } = shape.classes[index].work {
            demand += flow.rate * shape.cost(index, prompt).as_secs_f64();
        }
    }
    let share = demand / shape.engines as f64;
    assert!((share - expected).abs() < 1e-9, "{share}");
}

/// Guards against slowdowns that overlap, exceed the run or select an engine twice.
#[test]
fn slowdowns_do_not_overlap_and_end_within_the_run() {
    let span = SECOND * 20;
    let plan = measure::Slowdown::plan(20, span, 4);
    assert!(plan.len() >= 3);
    assert!(plan.last().unwrap().until <= span);
    assert!(plan.windows(2).all(|pair| pair[0].until < pair[1].from));
    for slowdown in plan {
        let mut engines = slowdown.engines.clone();
        engines.sort_unstable();
        engines.dedup();
        assert_eq!(engines.len(), 3);
    }
}

/// Guards against settings that refer to undefined names.
#[rstest::rstest]
#[tokio::test]
async fn settings_refer_only_to_defined_names(
    #[values(measure::Shape::kalahari(), measure::Shape::ganci_alpini())] shape: measure::Shape,
) {
    let cluster = measure::Cluster::start(&shape).unwrap();
    let peers = [("host-0".to_owned(), ([127, 0, 0, 1], 1).into())];
    let settings = measure::settings(&shape, &cluster, &peers);
    let classes = &settings.classes;
    assert!(classes.contains_key(&settings.anonymous.class));
    assert!(
        settings
            .teams
            .values()
            .all(|team| classes.contains_key(&team.class))
    );
    let pools = settings.pools.values();
    let named: Vec<_> = pools.filter_map(|pool| pool.class.as_ref()).collect();
    assert!(named.iter().all(|class| classes.contains_key(*class)));
    for pool in settings.pools.keys() {
        assert!(
            settings
                .endpoints
                .values()
                .any(|endpoint| endpoint.pool == *pool)
        );
    }
    let ports = settings.endpoints.values().map(|endpoint| endpoint.address);
    let ports: std::collections::HashSet<_> = ports.collect();
    assert_eq!(ports.len(), settings.endpoints.len());
}

/// Guards against a run that damages answers or loses requests.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_run_has_no_faults(
    #[values(
        measure::Policy::Direct,
        measure::Policy::Baseline,
        measure::Policy::Current
    )]
    policy: measure::Policy,
) {
    let mut shape = measure::Shape::ganci_alpini();
    for length in &mut shape.engine.lengths {
        length.straggler_share = 0.0;
    }
    let options = measure::Options {
        shape,
        policy,
        hosts: 1,
        scenario: measure::Scenario::Steady,
        span: SECOND / 2,
        seed: 2,
    };
    let table = measure::trial(&options).await.unwrap();
    for name in [
        "broken",
        "damaged",
        "doubled_effects",
        "refused_but_ran",
        "unanswered",
    ] {
        assert_eq!(table.get(name), Some(0.0), "{name}");
    }
    assert!(table.get("sent.quote").unwrap() > 20.0);
    assert!(table.get("generated_tokens_per_s").unwrap() > 0.0);
}
