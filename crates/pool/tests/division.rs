//! Two homes of one shard during a split of the hosts.

use core::time::Duration;

#[expect(dead_code, reason = "other tests use more of it")]
mod sim;

#[path = "../examples/division/mod.rs"]
mod division;

use division::{Division, Setup, World, request, setup};
use sim::{MILLISECOND, SECOND};

const SPLIT: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(13));

/// Host that is the second home.
const OTHER: usize = setup::HOSTS / 2;

fn split(seed: u64) -> Setup {
    Setup {
        split: Some(SPLIT),
        loss: 0.01,
        length: 20 * SECOND,
        ..Setup::new(Division::Home, seed)
    }
}

/// Guards against a home that ignores foreign load, or takes its own requests
/// for foreign ones and the other way round.
///
/// A home grants a place only while its own requests and the foreign load of
/// the last report fit into the batch. What can exceed the batch is therefore
/// what that report could not show: requests that the other home started
/// since, own places released since that still run, and own ones that were
/// between home and endpoint when it was made. The report is at most one
/// interval and its lag old.
#[test]
fn foreign_load_bounds_the_excess_of_two_homes() {
    for seed in 1..=3 {
        let run = World::new(split(seed)).run();
        let tally = &run.tally;
        assert!(tally.last_grant[OTHER] > Some(SPLIT.0), "no second home");
        assert!(tally.split_excess_max > 0, "the homes never met");
        assert_eq!(tally.beyond_bound, 0, "seed {seed}");
        // Each home alone keeps to the batch, and what a home releases at the
        // death of a host has ended: no request takes 4 s.
        assert!(tally.split_excess_max <= setup::BATCH, "seed {seed}");
        // A grant may be sent again on its way to the entry host.
        let on_the_way = setup::RESEND + 2 * MILLISECOND;
        let oldest = setup::REPORT + run.setup.lag + on_the_way;
        assert!(tally.report_age_max <= oldest, "seed {seed}");
    }
}

/// Guards against a bound that holds whatever the homes do.
#[test]
fn homes_without_reports_break_the_bound() {
    let setup = Setup {
        reports: false,
        ..split(1)
    };
    assert!(World::new(setup).run().tally.beyond_bound > 0);
}

/// Guards against a second home that goes on after the split, an ask with no
/// outcome or with two, and places that are never freed.
#[test]
fn one_home_remains_after_a_split() {
    for seed in 1..=3 {
        // An ask that arrives just before the digests changes homes once and
        // is then granted or refused before its deadline.
        let last = SPLIT.1 + setup::DIGEST + setup::SILENCE + request::WITHIN;
        let length = last + 2 * SECOND;
        let run = World::new(Setup {
            length,
            ..split(seed)
        });
        let run = run.run();
        for (host, &at) in run.tally.last_grant.iter().enumerate() {
            let goes_on = at > Some(last);
            assert_eq!(goes_on, host == setup::FIRST_HOME, "seed {seed}, {host}");
            let end = length + 2 * request::WITHIN;
            assert!(!run.is_busy(end, host), "seed {seed}: {host} holds places");
        }
        let outcomes = run.requests.iter().map(|request| request.outcomes);
        assert!(outcomes.into_iter().all(|count| count == 1), "seed {seed}");
    }
}

/// Guards against a division in which a request has no outcome or two.
#[rstest::rstest]
fn every_request_has_one_outcome(
    #[values(Division::Alone, Division::Home, Division::Lease)] division: Division,
) {
    let run = World::new(Setup {
        division,
        ..split(4)
    });
    let run = run.run();
    assert!(run.requests.iter().all(|request| request.outcomes == 1));
}
