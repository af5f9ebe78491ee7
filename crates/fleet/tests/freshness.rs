//! The time from a change at the platform to its effect must stay within the bounds of the
//! settings, at every size of the fleet and whatever part of its watchers is lost.

use core::time;

use fleet::freshness;
use proptest::prelude::*;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Returns a fleet whose hosts are in this many data centres. Publications take 80 messages
/// a second at each host.
fn fleet_of(hosts: usize, data_centres: usize) -> freshness::Fleet {
    let near = hosts.div_ceil(data_centres);
    freshness::Fleet {
        hosts,
        publish_period: ms(150).max(time::Duration::from_secs_f64(near as f64 / 80.0)),
    }
}

/// Bounds of the kind that platforms state: at least 1.5 s for a change, and 1 s more
/// after connections went silent.
fn bounds() -> impl Strategy<Value = freshness::Bounds> {
    (1_500..6_000_u64, 1_000..4_000_u64).prop_map(|(change, more)| freshness::Bounds {
        change: ms(change),
        silence: ms(change + more),
    })
}

proptest! {
    // Guards against intervals that are reasonable each, with a sum over the bound.
    #[test]
    fn all_chains_stay_within_the_bounds(
        bounds in bounds(),
        hosts in 1..=340_usize,
        data_centres in 1..=4_usize,
    ) {
        let fleet = fleet_of(hosts, data_centres);
        let intervals = freshness::Intervals::new(bounds, fleet);
        for chain in intervals.chains(bounds) {
            prop_assert!(chain.is_kept(), "{chain}, allowed {:?}", chain.bound);
        }
    }

    // Guards against followers that read the platform themselves while a watcher lives.
    #[test]
    fn the_answers_of_one_watcher_keep_the_state_of_the_others_young(
        change in 2_000..6_000_u64,
        hosts in 1..=128_usize,
    ) {
        let bounds = freshness::Bounds { change: ms(change), silence: ms(change + 1_000) };
        let fleet = fleet_of(hosts, 3);
        let intervals = freshness::Intervals::new(bounds, fleet);
        let answered = intervals.watch_wait(false, 0.0) + ms(200);
        prop_assert!(answered + fleet.publish_period <= intervals.age_max, "{intervals:?}");
    }

    #[test]
    fn the_wait_of_a_watch_stays_within_its_interval(random in -1.0..2.0_f64) {
        let intervals = freshness::Intervals::new(
            freshness::Bounds::default(),
            fleet_of(15, 3),
        );
        let wait = intervals.watch_wait(false, random);
        prop_assert!(wait <= intervals.watch && wait * 2 > intervals.watch);
        let after_pause = intervals.watch_wait(true, random);
        prop_assert!(after_pause + intervals.pause <= intervals.watch + intervals.pause / 4);
    }
}

#[test]
fn a_bound_that_cannot_be_kept_is_named_with_its_chain() {
    // Guards against settings whose bounds are missed without a word.
    let bounds = freshness::Bounds {
        change: ms(300),
        silence: ms(700),
    };
    let intervals = freshness::Intervals::new(bounds, fleet_of(15, 3));
    let broken: Vec<_> = intervals
        .chains(bounds)
        .into_iter()
        .filter(|chain| !chain.is_kept())
        .map(|chain| chain.to_string())
        .collect();
    assert_eq!(broken.len(), 2, "{broken:?}");
    assert!(broken[1].starts_with("silent connections, pause 37 ms, watch 250 ms"));
}
