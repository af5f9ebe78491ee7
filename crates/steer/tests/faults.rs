//! Choice among endpoints that fail, vanish or leave.

use core::time;

use rand::{RngExt, SeedableRng};

const SERVICE: &str = "orders";

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn list(count: usize) -> Vec<plan::Endpoint> {
    (0..count)
        .map(|index| plan::Endpoint {
            id: format!("e{index}"),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            data_centre: "dc".into(),
            slots: 6,
            phase: plan::Phase::Up,
            started_ms: 1,
        })
        .collect()
}

fn fleet(count: usize) -> steer::Balancer {
    let mut fleet = steer::Balancer::new(steer::Options {
        data_centre: "dc".into(),
        ..steer::Options::default()
    });
    fleet.replace(&list(count));
    fleet
}

fn pick(fleet: &steer::Balancer, now: u64, tried: &[steer::Key], seed: u64) -> steer::Decision {
    let need = steer::Objective {
        urgency: 0.0,
        remaining: ms(800),
        target_first: ms(300),
    };
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let work = steer::Work::default();
    fleet.pick(ms(now), SERVICE, &work, need, tried, &mut rng)
}

fn sent(fleet: &steer::Balancer, now: u64, seed: u64) -> steer::Pick {
    match pick(fleet, now, &[], seed) {
        steer::Decision::Selected(pick) => pick,
        other => panic!("{other:?}"),
    }
}

fn run(
    fleet: &mut steer::Balancer,
    now: u64,
    seed: u64,
    end: impl Fn(&str) -> steer::End,
) -> String {
    let pick = sent(fleet, now, seed);
    let run = fleet.start(ms(now), &pick, &steer::Work::default());
    let end = end(&pick.id);
    fleet.finish(ms(now), run, end);
    pick.id
}

#[test]
fn an_unreachable_endpoint_is_passed_over_until_its_pause_ends() {
    // Guards against requests that wait for connections to a dead process.
    let mut fleet = fleet(2);
    let dead = sent(&fleet, 0, 1);
    fleet.mark_unreachable(ms(0), dead.key);
    for seed in 0..50 {
        assert_ne!(sent(&fleet, 100, seed).id, dead.id);
    }
    let returned = (0..50).any(|seed| sent(&fleet, 2_000, seed).id == dead.id);
    assert!(returned, "the endpoint is never tried again");
}

#[test]
fn the_last_endpoint_is_tried_although_it_was_unreachable() {
    // Guards against refusing everything after one failure of the only endpoint.
    let mut fleet = fleet(1);
    let only = sent(&fleet, 0, 1);
    fleet.mark_unreachable(ms(0), only.key);
    assert_eq!(sent(&fleet, 1, 1).id, only.id);
}

#[test]
fn an_endpoint_that_fails_more_than_the_others_loses_its_requests() {
    // Guards against an endpoint whose health check passes while its answers fail.
    let mut fleet = fleet(4);
    let end = |id: &str| match id {
        "e0" => steer::End::Failed,
        _ => steer::End::Served,
    };
    for round in 0..100 {
        run(&mut fleet, round * 10, round, end);
    }
    let late = (100..200)
        .filter(|&round| run(&mut fleet, round * 10, round, end) == "e0")
        .count();
    assert!(
        late <= 15,
        "{late} of 100 requests went to the failing endpoint"
    );
}

#[test]
fn a_share_of_failures_that_all_endpoints_have_ejects_none() {
    // Guards against taking the natural failures of one kind of request for an outage.
    let mut fleet = fleet(4);
    let mut counts = std::collections::HashMap::new();
    for round in 0..400u64 {
        let id = run(&mut fleet, round * 10, round, |_| match round % 7 {
            0 => steer::End::Failed,
            _ => steer::End::Served,
        });
        *counts.entry(id).or_insert(0u32) += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|&count| count >= 40), "{counts:?}");
}

#[test]
fn leaving_and_tried_endpoints_get_nothing() {
    // Guards against new work at an endpoint that is about to exit.
    let mut fleet = fleet(2);
    let mut changed = list(2);
    changed[0].phase = plan::Phase::Leaving;
    let changes = fleet.replace(&changed);
    assert_eq!(changes, [steer::Change::Leaving("e0".into())]);
    let pick_one = sent(&fleet, 0, 1);
    assert_eq!(pick_one.id, "e1");
    let none = pick(&fleet, 0, &[pick_one.key], 1);
    assert_eq!(none, steer::Decision::NoEndpoint);
}

#[test]
fn a_new_lifetime_with_an_old_id_starts_without_load() {
    // Guards against counting requests that ended with the process before.
    let mut fleet = fleet(1);
    let pick = sent(&fleet, 0, 1);
    let run = fleet.start(ms(0), &pick, &steer::Work::default());
    let mut restarted = list(1);
    restarted[0].started_ms = 2;
    let changes = fleet.replace(&restarted);
    assert_eq!(
        changes,
        [
            steer::Change::Removed("e0".into()),
            steer::Change::Added("e0".into())
        ]
    );
    assert!(fleet.loads(ms(1)).is_empty());
    fleet.finish(ms(2), run, steer::End::Lost);
    assert!(fleet.loads(ms(3)).is_empty());
}

#[test]
fn repeats_stay_within_the_share_of_the_host() {
    // Guards against a storm of repeats when many answers fail.
    let share = steer::Allowance {
        ratio: 0.2,
        slack: 3.0,
        window_s: 10,
    };
    let mut budget = steer::Budget::default();
    let mut spent = 0;
    for round in 0..1_000u64 {
        let now = ms(round * 10);
        budget.deposit(now);
        if budget.try_withdraw(now, share) {
            spent += 1;
        }
    }
    assert!(
        (150..=203).contains(&spent),
        "{spent} repeats of 1000 requests"
    );
}

#[test]
fn repeats_of_the_past_window_are_forgotten() {
    // Guards against a budget that stays empty after one outage.
    let share = steer::Allowance {
        ratio: 0.0,
        slack: 2.0,
        window_s: 10,
    };
    let mut budget = steer::Budget::default();
    assert!(budget.try_withdraw(ms(0), share));
    assert!(budget.try_withdraw(ms(0), share));
    assert!(!budget.try_withdraw(ms(5_000), share));
    assert!(budget.try_withdraw(ms(12_000), share));
}

#[test]
fn two_hosts_that_cannot_reach_an_endpoint_warn_the_others() {
    // Guards against each host that runs into the same dead endpoint by itself.
    let mut one = fleet(2);
    let mut others = [fleet(2), fleet(2)];
    let down = sent(&one, 0, 1);
    for other in &mut others {
        let key = (0..20)
            .map(|seed| sent(other, 0, seed))
            .find(|pick| pick.id == down.id)
            .expect("both endpoints are used");
        other.mark_unreachable(ms(0), key.key);
    }
    one.apply_loads(ms(10), 1, &others[0].loads(ms(10)));
    assert!((0..40).any(|seed| sent(&one, 20, seed).id == down.id));
    one.apply_loads(ms(10), 2, &others[1].loads(ms(10)));
    assert!((0..40).all(|seed| sent(&one, 20, seed).id != down.id));
}

#[test]
fn an_endpoint_that_was_full_gets_a_pause() {
    // Guards against a queue that is offered more work at each refusal.
    let mut fleet = fleet(2);
    let full = run(&mut fleet, 0, 1, |_| steer::End::Full);
    assert!((0..40).all(|seed| sent(&fleet, 50, seed).id != full));
    assert!((0..40).any(|seed| sent(&fleet, 1_000, seed).id == full));
}

#[test]
fn an_unlucky_endpoint_keeps_its_requests() {
    // Guards against taking chance for an outage: each request fails with the same
    // probability wherever it runs.
    let mut fleet = fleet(4);
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let mut counts = std::collections::HashMap::new();
    for round in 0..400u64 {
        let end = match rng.random_bool(0.14) {
            true => steer::End::Failed,
            false => steer::End::Served,
        };
        let id = run(&mut fleet, round * 10, round, |_| end);
        *counts.entry(id).or_insert(0u32) += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|&count| count >= 40), "{counts:?}");
}
