//! Requests that crash engines.

use core::time;

use rstest::rstest;
use testkit::engine;

use crate::fleet;
use crate::model;

/// Guards against a request that crashes one engine after the other when its caller
/// sends it again through other hosts, and against other requests in flight at those
/// engines that are lost or end as if they were whole.
#[rstest]
#[case::before_output(0)]
#[case::after_output(3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_crashes_two_engines_at_most(#[case] after_tokens: u32) {
    let crash = engine::Crash {
        marker: "fault".to_owned(),
        after_tokens,
        restart_after: Some(time::Duration::from_millis(500)),
    };
    let engines: Vec<_> = (0..4).map(|_| model::engine(Some(crash.clone()))).collect();
    let settings = fleet::settings(&model::addresses(&engines), "");
    let fleet = fleet::Fleet::start(4, &settings).await;
    let load = model::Load::start(5, 12, fleet.running_addresses());
    load.progress(100).await;
    let client = model::client();
    for number in 0..20 {
        let address = fleet.caller(number % 4);
        let outcome = model::send(&client, address, "marked", "fault", true).await;
        assert_ne!(outcome, model::Outcome::Whole, "attempt {number}");
        assert!(!matches!(outcome, model::Outcome::Wrong(_)), "{outcome:?}");
    }
    load.progress(100).await;
    let crashes: u64 = engines.iter().map(|engine| engine.counters().crashes).sum();
    assert!((1..=2).contains(&crashes), "{crashes} engines crashed");
    for (tag, outcome) in load.end().await {
        // Streams that had begun are cut; all other requests are retried elsewhere.
        let is_right = matches!(outcome, model::Outcome::Whole | model::Outcome::Cut);
        assert!(is_right, "{tag}: {outcome:?}");
    }
}
