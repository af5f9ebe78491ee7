//! Tests of the load generator.

use core::time;

use testkit::engine;
use testkit::load;

fn flow(rate: f64, swing: load::Swing) -> load::Flow {
    load::Flow {
        class: "door-label".into(),
        team: "press".into(),
        key: None,
        callers: 4,
        rate,
        swing,
        hangups: 0.0,
        work: load::Work::Model {
            model: "model".into(),
            length: 0,
            max_tokens: None,
            prompt: (40, 200),
        },
    }
}

/// Guards against a plan that differs between two runs with the same seed.
#[test]
fn plan_depends_on_the_seed_alone() {
    let flows = [flow(50.0, load::Swing::default())];
    let span = time::Duration::from_secs(10);
    let plan = load::plan(&flows, span, 3);
    assert_eq!(plan, load::plan(&flows, span, 3));
    assert_ne!(plan, load::plan(&flows, span, 4));
}

/// Guards against a flow whose arrivals change when another flow is added.
#[test]
fn flows_are_independent() {
    let steady = flow(50.0, load::Swing::default());
    let span = time::Duration::from_secs(10);
    let alone = load::plan(core::slice::from_ref(&steady), span, 3);
    let both = load::plan(&[steady, flow(20.0, load::Swing::default())], span, 3);
    let first: Vec<_> = both
        .into_iter()
        .filter(|arrival| arrival.flow == 0)
        .collect();
    assert_eq!(alone, first);
}

/// Guards against arrivals that do not follow the sine wave or the burst.
#[test]
fn arrivals_follow_swing_and_burst() {
    let swing = load::Swing {
        period: time::Duration::from_secs(4),
        amplitude: 0.8,
        burst: Some(load::Burst {
            from: time::Duration::from_secs(50),
            until: time::Duration::from_secs(60),
            factor: 3.0,
        }),
    };
    let flows = [flow(200.0, swing)];
    let plan = load::plan(&flows, time::Duration::from_secs(100), 5);
    let count = |wanted: &dyn Fn(f64) -> bool| {
        let times = plan.iter().map(|arrival| arrival.at.as_secs_f64());
        times.filter(|&at| wanted(at)).count() as f64
    };
    let burst = count(&|at| (50.0..60.0).contains(&at)) / 10.0;
    let calm = count(&|at| !(50.0..60.0).contains(&at)) / 90.0;
    assert!((2.5..3.5).contains(&(burst / calm)));
    assert!((180.0..220.0).contains(&calm));
    let high = count(&|at| at < 48.0 && at % 4.0 < 2.0);
    let low = count(&|at| at < 48.0 && at % 4.0 >= 2.0);
    // The mean of the sine over a half period is 2/pi, which gives (1+0.51)/(1-0.51).
    assert!((2.6..3.6).contains(&(high / low)));
}

/// Guards against a generator that reports damage in complete answers or does not record
/// early hang-ups.
#[tokio::test]
async fn run_checks_every_answer() {
    let options = engine::Options {
        decode: time::Duration::from_millis(1),
        seed: 9,
        ..engine::Options::default()
    };
    let lengths = options.lengths.clone();
    let engine = engine::Engine::start(options).unwrap();
    let mut impatient = flow(100.0, load::Swing::default());
    impatient.hangups = 1.0;
    impatient.key = Some("key".into());
    let flows = [flow(200.0, load::Swing::default()), impatient];
    let arrivals = load::plan(&flows, time::Duration::from_millis(300), 1);
    let options = load::Options {
        run: "t".into(),
        lengths,
        engine_seed: 9,
        timeout: time::Duration::from_secs(60),
    };
    let address = engine.address();
    let samples = load::run(&flows, &arrivals, &options, |_, _, _| address).await;
    assert_eq!(samples.len(), arrivals.len());
    for sample in samples {
        let record = sample.record;
        let hung_up = record.outcome == load::Outcome::Cancelled && sample.arrival.hangup.is_some();
        assert!(record.outcome.is_whole() || hung_up, "{:?}", record.outcome);
    }
}
