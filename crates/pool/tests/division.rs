//! Tests of two homes of one shard during a network partition.

use core::time::Duration;

#[expect(dead_code, reason = "other tests use more of it")]
mod sim;

#[path = "../examples/division/mod.rs"]
mod division;

use division::{Division, Setup, World, request, setup};
use sim::{MILLISECOND, SECOND};

const PARTITION: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(13));

/// Host that is the second home.
const OTHER: usize = setup::HOSTS / 2;

fn partition(seed: u64) -> Setup {
    Setup {
        partition: Some(PARTITION),
        loss: 0.01,
        length: 20 * SECOND,
        ..Setup::new(Division::Home, seed)
    }
}

/// Guards against a home that ignores the load of the other home, or confuses its
/// own requests with those of the other home.
///
/// A home grants a slot only while its own requests and the load of other homes in
/// the last report fit into the batch. Only requests that this report could not
/// include can exceed the batch: those that the other home started since, own ones
/// released since that still run, and own ones that were in transit between home
/// and endpoint when it was made. The report is at most one period and its lag old.
#[test]
fn load_reports_limit_the_overcommit_of_two_homes() {
    for seed in 1..=3 {
        let run = World::new(partition(seed)).run();
        let tally = &run.tally;
        assert!(
            tally.last_grant[OTHER] > Some(PARTITION.0),
            "the second home granted nothing"
        );
        assert!(
            tally.partition_excess_max > 0,
            "the homes never overcommitted an endpoint"
        );
        assert_eq!(tally.beyond_bound, 0, "seed {seed}");
        // Each home keeps its own requests within the batch. The requests that a home
        // releases when it marks a host dead have ended, as none takes 4 s.
        assert!(tally.partition_excess_max <= setup::BATCH, "seed {seed}");
        // A grant may be retransmitted on its way to the entry host.
        let transit = setup::RETRANSMISSION + 2 * MILLISECOND;
        let oldest = setup::REPORT_PERIOD + run.setup.report_lag + transit;
        assert!(tally.report_age_max <= oldest, "seed {seed}");
    }
}

/// Guards against a bound that holds even if the homes receive no reports.
#[test]
fn homes_without_reports_break_the_bound() {
    let setup = Setup {
        has_reports: false,
        ..partition(1)
    };
    assert!(World::new(setup).run().tally.beyond_bound > 0);
}

/// Guards against a second home that keeps granting after the partition, requests
/// without exactly one outcome, and slots that are never freed.
#[test]
fn one_home_remains_after_a_partition() {
    for seed in 1..=3 {
        // A request that arrives just before the digests changes homes once and is then
        // granted or refused before its deadline.
        let last = PARTITION.1 + setup::DIGEST_PERIOD + setup::LINK_TIMEOUT + request::TIMEOUT;
        let length = last + 2 * SECOND;
        let run = World::new(Setup {
            length,
            ..partition(seed)
        });
        let run = run.run();
        for (host, &at) in run.tally.last_grant.iter().enumerate() {
            let still_grants = at > Some(last);
            assert_eq!(
                still_grants,
                host == setup::FIRST_HOME,
                "seed {seed}, {host}"
            );
            let end = length + 2 * request::TIMEOUT;
            assert!(!run.is_busy(end, host), "seed {seed}: {host} holds slots");
        }
        let outcomes = run.requests.iter().map(|request| request.outcomes);
        assert!(outcomes.into_iter().all(|count| count == 1), "seed {seed}");
    }
}

/// Guards against requests without exactly one outcome, for each way to divide the
/// slots.
#[rstest::rstest]
fn every_request_has_one_outcome(
    #[values(Division::Alone, Division::Home, Division::Lease)] division: Division,
) {
    let run = World::new(Setup {
        division,
        ..partition(4)
    });
    let run = run.run();
    assert!(run.requests.iter().all(|request| request.outcomes == 1));
}
