//! Tests of the order in which queued jobs are served.

use core::time::Duration;
use std::collections;

use sched::{Admission, Class, Lane, Lanes, Queue};

mod common;

const SECOND: Duration = Duration::from_secs(1);

fn serve(queue: &mut Queue<u64>, now: Duration, lanes: Lanes) -> Option<u64> {
    let pick = queue.pick(now, lanes)?;
    let (job, charge) = queue.take(now, pick).unwrap();
    queue.settle(charge, job.cost);
    Some(job.data)
}

/// Guards against serving a lower tier or a later deadline first.
#[test]
fn tiers_are_strict_and_one_caller_is_served_by_deadline() {
    let mut queue = Queue::new(common::options(2, 0.1, 60 * SECOND, 10));
    queue.push(SECOND, common::job(1, 1, 1, 20 * SECOND));
    queue.push(SECOND, common::job(2, 0, 1, 40 * SECOND));
    queue.push(SECOND, common::job(3, 0, 1, 30 * SECOND));
    let order: Vec<_> = (0..4)
        .map_while(|_| serve(&mut queue, SECOND, Lanes::ALL))
        .collect();
    assert_eq!(order, [3, 2, 1]);
}

/// Guards against a team that gets more service by sending more requests, by
/// having more callers, or by estimates below the actual cost.
#[test]
fn a_team_that_sends_ten_times_its_share_gets_its_share() {
    let mut options = common::options(1, 0.1, 600 * SECOND, 100_000);
    options.weights.insert(3, 2.0);
    let mut queue = Queue::new(options);
    let mut id = 0;
    for round in 0..1_000 {
        for (team, count) in [(1, 10), (2, 1), (3, 2)] {
            for step in 0..count {
                id += 1;
                let mut job = common::job(id, 0, team, 3_600 * SECOND);
                job.caller = round * 10 + step;
                job.cost = if team == 1 { 50.0 } else { 100.0 };
                queue.push(Duration::ZERO, job);
            }
        }
    }
    let mut tokens = collections::HashMap::<u32, f64>::new();
    for _ in 0..2_000 {
        let pick = queue.pick(SECOND, Lanes::ALL).unwrap();
        let (job, charge) = queue.take(SECOND, pick).unwrap();
        *tokens.entry(job.team).or_default() += 100.0;
        queue.settle(charge, 100.0);
    }
    assert!((tokens[&1] - 50_000.0).abs() <= 1_000.0, "{tokens:?}");
    assert!((tokens[&2] - 50_000.0).abs() <= 1_000.0, "{tokens:?}");
    assert!((tokens[&3] - 100_000.0).abs() <= 1_000.0, "{tokens:?}");
}

/// Guards against a missed deadline of a class in the same tier whose team is at
/// most one request ahead of the fair order.
#[test]
fn a_deadline_that_is_about_to_pass_goes_first_among_equal_teams() {
    let mut options = common::options(1, 0.0, 600 * SECOND, 100);
    options.classes.push(Class {
        tier: 0,
        ..options.classes[0]
    });
    let mut queue = Queue::new(options);
    queue.push(Duration::ZERO, common::job(1, 1, 2, 10 * SECOND));
    assert_eq!(serve(&mut queue, Duration::ZERO, Lanes::ALL), Some(1));
    // Team 2 is now one request ahead of team 1.
    queue.push(Duration::ZERO, common::job(2, 0, 1, 100 * SECOND));
    queue.push(Duration::ZERO, common::job(3, 1, 2, 10 * SECOND));
    let relaxed = queue.pick(SECOND, Lanes::ALL).unwrap();
    assert_eq!(queue.get(relaxed.key).unwrap().data, 2);
    let urgent = queue.pick(9 * SECOND, Lanes::ALL).unwrap();
    assert_eq!(queue.get(urgent.key).unwrap().data, 3);
}

/// Guards against jobs past their target that delay those that can still meet it,
/// and against keeping them in the queue during an overload.
#[test]
fn jobs_past_their_target_are_served_last_and_dropped_in_an_overload() {
    let mut queue = Queue::new(common::options(2, 0.0, 600 * SECOND, 100));
    for (id, class, target) in [(1, 0, 2), (4, 0, 2), (5, 0, 2), (2, 0, 9), (3, 1, 9)] {
        let mut job = common::job(id, class, id as u32, 30 * SECOND);
        job.target = target * SECOND;
        queue.push(SECOND, job);
    }
    assert_eq!(serve(&mut queue, 3 * SECOND, Lanes::ALL), Some(2));
    assert_eq!(serve(&mut queue, 3 * SECOND, Lanes::ALL), Some(1));
    let mut dropped = Vec::new();
    // Two jobs of 100 tokens are late, and a second serves 150.
    queue.shed_overload(4 * SECOND, 150.0, &mut dropped);
    queue.shed_overload(16 * SECOND, 150.0, &mut dropped);
    assert!(dropped.is_empty(), "the overload may end before 28 s");
    queue.shed_overload(17 * SECOND, 150.0, &mut dropped);
    dropped.sort_unstable();
    assert_eq!(dropped, [4, 5]);
    assert_eq!(serve(&mut queue, 17 * SECOND, Lanes::ALL), Some(3));
}

/// Guards against serving a job without room in its lane, before it is ready, or
/// after it was cancelled.
#[test]
fn lanes_holds_and_cancels_are_respected() {
    let mut queue = Queue::new(common::options(1, 0.1, 60 * SECOND, 10));
    let long = Lane::new(1);
    let mut first = common::job(1, 0, 1, 50 * SECOND);
    first.lane = long;
    let Admission::Queued(first) = queue.push(SECOND, first) else {
        panic!("the queue has room");
    };
    let mut second = common::job(2, 0, 1, 60 * SECOND);
    second.ready_at = 3 * SECOND;
    queue.push(SECOND, second);
    let Admission::Queued(third) = queue.push(SECOND, common::job(3, 0, 1, 70 * SECOND)) else {
        panic!("the queue has room");
    };
    let short = Lanes::ALL.without(long);
    queue.hold(third, 5 * SECOND);
    assert_eq!(serve(&mut queue, 2 * SECOND, short), None);
    assert_eq!(serve(&mut queue, 3 * SECOND, short), Some(2));
    assert_eq!(serve(&mut queue, 4 * SECOND, short), None);
    assert!(queue.cancel(third).is_some());
    assert!(queue.cancel(third).is_none());
    assert_eq!(serve(&mut queue, 6 * SECOND, short), None);
    queue.set_lane(first, Lane::new(0));
    assert_eq!(serve(&mut queue, 6 * SECOND, short), Some(1));
    assert!(queue.is_empty());
}

/// Guards against a change of settings that loses jobs or keeps the old tiers.
#[test]
fn new_tiers_apply_to_queued_jobs() {
    let mut queue = Queue::new(common::options(2, 0.0, 60 * SECOND, 10));
    queue.push(SECOND, common::job(1, 0, 1, 50 * SECOND));
    queue.push(SECOND, common::job(2, 1, 1, 50 * SECOND));
    let pick = queue.pick(SECOND, Lanes::ALL).unwrap();
    let (_, charge) = queue.take(SECOND, pick).unwrap();
    queue.push(SECOND, common::job(3, 0, 1, 50 * SECOND));
    let mut options = common::options(2, 0.0, 60 * SECOND, 10);
    options.classes.reverse();
    queue.configure(2 * SECOND, options);
    queue.settle(charge, 5.0);
    assert_eq!(serve(&mut queue, 2 * SECOND, Lanes::ALL), Some(2));
    assert_eq!(serve(&mut queue, 2 * SECOND, Lanes::ALL), Some(3));
}
