//! Tests of load correction, limits, the share of long requests and failures.

use core::time::Duration;
use std::collections;

use route::{Need, Outcome, Report, Request};

mod common;

use common::{MILLISECOND, SECOND, list, request, table};

fn report(running: u32, waiting: u32, at: Duration) -> Report {
    Report {
        running,
        waiting,
        slots: 0,
        is_draining: false,
        at,
    }
}

/// Guards against overcommitment by a host that takes over a shard while its
/// endpoints still run what the last home host granted.
#[test]
fn foreign_load_lowers_the_limit() {
    let mut table = table(1, 8);
    table.record_report(SECOND, 0, report(5, 1, SECOND));
    assert_eq!(table.concurrency_limit(), 2);
    assert!(table.grant(SECOND, request()).is_some());
    assert!(table.grant(SECOND, request()).is_some());
    assert!(table.grant(SECOND, request()).is_none());
    table.record_report(2 * SECOND, 0, report(3, 0, 2 * SECOND));
    assert_eq!(table.concurrency_limit(), 7, "one of the three is foreign");
}

/// Guards against counting own requests as foreign when a report is late.
#[test]
fn a_late_report_is_compared_with_the_count_at_its_time() {
    let mut table = table(1, 8);
    let runs: Vec<_> = (0..4)
        .filter_map(|step| table.grant(SECOND + step * 20 * MILLISECOND, request()))
        .collect();
    for &run in &runs {
        table.finish(2 * SECOND, run, Outcome::Complete, 1);
    }
    // The report was taken when two of the four had been granted; all have
    // ended since.
    table.record_report(3 * SECOND, 0, report(2, 0, SECOND + 30 * MILLISECOND));
    assert_eq!(table.concurrency_limit(), 8);
}

/// Guards against long requests, by estimate or by attained service, that hold
/// every slot of one endpoint or of several endpoints with a single slot.
#[test]
fn long_requests_hold_at_most_their_share() {
    let long = Request {
        need: Need {
            is_long: true,
            is_suspect: false,
        },
        ..request()
    };
    let mut one = table(1, 8);
    let granted = (0..8).filter_map(|_| one.grant(SECOND, long)).count();
    assert_eq!(granted, 4);
    assert!(one.grant(SECOND, request()).is_some());

    let mut many = table(6, 1);
    let granted = (0..6).filter_map(|_| many.grant(SECOND, long)).count();
    assert_eq!(granted, 3);

    let mut attained = table(1, 8);
    for _ in 0..4 {
        let run = attained.grant(SECOND, request()).unwrap();
        attained.record_first_output(2 * SECOND, run);
    }
    attained.tick(30 * SECOND);
    assert!(attained.has_room(long.need), "700 tokens at 40 ms each");
    attained.tick(43 * SECOND);
    assert!(!attained.has_room(long.need), "1,025 tokens at 40 ms each");
    assert!(attained.has_room(request().need));
}

/// Serves as many requests as have room, for a number of seconds. The first token
/// takes `latency` of the endpoint and its number of requests.
fn drive(
    table: &mut route::Table,
    from: Duration,
    seconds: u32,
    latency: impl Fn(u32, u32) -> Duration,
) {
    let mut due = collections::BTreeMap::new();
    let mut serial = 0_u32;
    let mut held = collections::HashMap::<u32, u32>::new();
    for step in 0..seconds * 100 {
        let now = from + step * 10 * MILLISECOND;
        while let Some((&(at, _), _)) = due.first_key_value() {
            if at > now {
                break;
            }
            let (_, run) = due.pop_first().unwrap();
            let endpoint = table.endpoint(run).unwrap();
            *held.entry(endpoint).or_default() -= 1;
            table.record_first_output(now, run);
            table.finish(now, run, Outcome::Complete, 1);
        }
        table.tick(now);
        while let Some(run) = table.grant(now, request()) {
            let endpoint = table.endpoint(run).unwrap();
            let count = held.entry(endpoint).or_default();
            *count += 1;
            serial += 1;
            due.insert((now + latency(endpoint, *count), serial), run);
        }
    }
    for run in due.into_values() {
        table.finish(from + seconds * SECOND, run, Outcome::Cancelled, 0);
    }
}

/// Guards against a limit that does not follow the observed times.
#[test]
fn the_limit_falls_under_misses_and_recovers() {
    let mut table = table(1, 32);
    // Each request in flight adds 100 ms, so ten meet the target of a second.
    drive(&mut table, Duration::ZERO, 20, |_, held| {
        held * 100 * MILLISECOND
    });
    let low = table.concurrency_limit();
    assert!((4..=12).contains(&low), "{low}");
    drive(&mut table, 20 * SECOND, 20, |_, _| 50 * MILLISECOND);
    assert_eq!(table.concurrency_limit(), 32);
}

/// Guards against full load on slow endpoints, against ejecting more than a third
/// of the shard, and against an ejection that never ends.
#[test]
fn slow_endpoints_lose_slots_and_get_them_back() {
    let mut table = table(9, 8);
    drive(&mut table, Duration::ZERO, 5, |_, _| 50 * MILLISECOND);
    assert_eq!(table.concurrency_limit(), 72);
    let slow = |id: u32| {
        if id < 4 {
            900 * MILLISECOND
        } else {
            50 * MILLISECOND
        }
    };
    drive(&mut table, 5 * SECOND, 5, |id, _| slow(id));
    let limit = table.concurrency_limit();
    assert!((40..=50).contains(&limit), "{limit}");
    assert!(table.ejected_count() <= 3);
    drive(&mut table, 10 * SECOND, 30, |_, _| 50 * MILLISECOND);
    assert_eq!(table.concurrency_limit(), 72);
    assert_eq!(table.ejected_count(), 0);
}

/// Guards against an unreachable endpoint that attracts requests, and against a
/// recovered one that gets its full load at once or never.
#[test]
fn an_unreachable_endpoint_is_probed() {
    let mut table = table(2, 8);
    let mut sent = 0;
    for step in 0..1_000 {
        let now = step * 10 * MILLISECOND;
        table.tick(now);
        let runs: Vec<_> = (0..16).map_while(|_| table.grant(now, request())).collect();
        for run in runs {
            if table.endpoint(run) == Some(0) {
                sent += 1;
                table.finish(now + MILLISECOND, run, Outcome::Unreachable, 0);
            } else {
                table.finish(now + MILLISECOND, run, Outcome::Complete, 1);
            }
        }
    }
    assert!((8..=20).contains(&sent), "{sent} attempts in 10 s");
    let now = 20 * SECOND;
    table.tick(now);
    assert_eq!(table.concurrency_limit(), 9, "one slot for a probe");
    let runs: Vec<_> = (0..9).filter_map(|_| table.grant(now, request())).collect();
    for run in runs {
        if table.endpoint(run) == Some(0) {
            table.record_first_output(now, run);
        } else {
            table.finish(now, run, Outcome::Complete, 1);
        }
    }
    assert_eq!(table.concurrency_limit(), 10, "a quarter of its slots");
    for step in 1..=20 {
        table.tick(now + step * 100 * MILLISECOND);
    }
    assert_eq!(table.concurrency_limit(), 16);
}

/// Guards against new requests at an endpoint that is leaving, draining or not
/// listed.
#[test]
fn a_leaving_endpoint_gets_nothing_new() {
    let mut table = table(2, 1);
    let run = table.grant(SECOND, request()).unwrap();
    let busy = table.endpoint(run).unwrap();
    let mut set = list(2, 1);
    set.remove(1 - busy as usize);
    set[0].is_up = false;
    table.set_endpoints(SECOND, &set);
    assert!(table.grant(SECOND, request()).is_none());
    assert!(!table.has_open_endpoint());
    table.set_endpoints(SECOND, &[]);
    table.finish(2 * SECOND, run, Outcome::Complete, 1);
    assert_eq!(table.in_flight().count(), 0);
    table.set_endpoints(SECOND, &list(1, 1));
    let drain = Report {
        is_draining: true,
        ..report(0, 0, SECOND)
    };
    table.record_report(SECOND, 0, drain);
    assert!(table.grant(SECOND, request()).is_none());
}

/// Guards against prefix affinity that overrides load, and against a retry at the
/// failed endpoint while another one has room.
#[test]
fn affinity_and_avoidance_are_preferences() {
    let mut table = table(4, 8);
    let with_prefix = Request {
        prefix_hash: 9,
        ..request()
    };
    let run = table.grant(SECOND, with_prefix).unwrap();
    let first = table.endpoint(run);
    let second = table.grant(SECOND, with_prefix).unwrap();
    assert_eq!(table.endpoint(second), first);
    let runs: Vec<_> = (0..4)
        .filter_map(|_| table.grant(SECOND, with_prefix))
        .collect();
    assert!(runs.iter().any(|&run| table.endpoint(run) != first));
    let avoid = Request {
        avoid: first,
        ..with_prefix
    };
    let elsewhere = table.grant(SECOND, avoid).unwrap();
    assert_ne!(table.endpoint(elsewhere), first);
}
