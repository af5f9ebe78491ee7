//! Selection among endpoints that fail, become unreachable or leave, and the
//! retry budget.

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
            build: Some("v1".into()),
        })
        .collect()
}

fn balancer(count: usize) -> steer::Balancer {
    let mut balancer = steer::Balancer::new(steer::Options {
        data_centre: "dc".into(),
        ..steer::Options::default()
    });
    balancer.replace(&list(count));
    balancer
}

fn pick(
    balancer: &mut steer::Balancer,
    now: u64,
    tried: &[steer::Key],
    seed: u64,
) -> steer::Decision {
    let objective = steer::Objective {
        urgency: 0.0,
        remaining: ms(800),
        target_first: ms(300),
    };
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let work = steer::Work::default();
    balancer.pick(ms(now), SERVICE, &work, objective, tried, &mut rng)
}

fn sent(balancer: &mut steer::Balancer, now: u64, seed: u64) -> steer::Pick {
    match pick(balancer, now, &[], seed) {
        steer::Decision::Selected(pick) => pick,
        other => panic!("{other:?}"),
    }
}

fn run(
    balancer: &mut steer::Balancer,
    now: u64,
    seed: u64,
    end: impl Fn(&str) -> steer::End,
) -> String {
    let pick = sent(balancer, now, seed);
    let run = balancer.start(ms(now), &pick, &steer::Work::default());
    let end = end(&pick.id);
    balancer.finish(ms(now), run, end);
    pick.id
}

#[test]
fn an_unreachable_endpoint_is_avoided_until_its_back_off_ends() {
    // Guards against requests that wait for connections to a crashed process.
    let mut balancer = balancer(2);
    let down = sent(&mut balancer, 0, 1);
    balancer.mark_unreachable(ms(0), down.key);
    for seed in 0..50 {
        assert_ne!(sent(&mut balancer, 100, seed).id, down.id);
    }
    let returned = (0..50).any(|seed| sent(&mut balancer, 2_000, seed).id == down.id);
    assert!(returned, "the endpoint was not tried again within 2 s");
}

#[test]
fn an_unreachable_endpoint_is_tried_if_it_is_the_only_one() {
    // Guards against refusing every request after one connection failure of the only endpoint.
    let mut balancer = balancer(1);
    let only = sent(&mut balancer, 0, 1);
    balancer.mark_unreachable(ms(0), only.key);
    assert_eq!(sent(&mut balancer, 1, 1).id, only.id);
}

#[test]
fn an_endpoint_that_fails_more_than_the_others_gets_few_requests() {
    // Guards against an endpoint that passes its health checks while its answers fail.
    let mut balancer = balancer(4);
    let end = |id: &str| match id {
        "e0" => steer::End::Failed,
        _ => steer::End::Served,
    };
    for round in 0..100 {
        run(&mut balancer, round * 10, round, end);
    }
    let late = (100..200)
        .filter(|&round| run(&mut balancer, round * 10, round, end) == "e0")
        .count();
    assert!(
        late <= 15,
        "{late} of 100 requests went to the failing endpoint"
    );
}

#[test]
fn failures_common_to_all_endpoints_eject_none() {
    // Guards against treating failures that depend on the request as an outage of endpoints.
    let mut balancer = balancer(4);
    let mut counts = std::collections::HashMap::new();
    for round in 0..400u64 {
        let id = run(&mut balancer, round * 10, round, |_| match round % 7 {
            0 => steer::End::Failed,
            _ => steer::End::Served,
        });
        *counts.entry(id).or_insert(0u32) += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|&count| count >= 40), "{counts:?}");
}

#[test]
fn leaving_and_tried_endpoints_get_no_requests() {
    // Guards against new requests at an endpoint that is about to exit.
    let mut balancer = balancer(2);
    let mut changed = list(2);
    changed[0].phase = plan::Phase::Leaving;
    let changes = balancer.replace(&changed);
    assert_eq!(changes, [steer::Change::Leaving("e0".into())]);
    let pick_one = sent(&mut balancer, 0, 1);
    assert_eq!(pick_one.id, "e1");
    let none = pick(&mut balancer, 0, &[pick_one.key], 1);
    assert_eq!(none, steer::Decision::NoEndpoint);
}

#[test]
fn a_restarted_endpoint_with_the_same_id_starts_without_load() {
    // Guards against counting requests that ended with the previous process.
    let mut balancer = balancer(1);
    let pick = sent(&mut balancer, 0, 1);
    let run = balancer.start(ms(0), &pick, &steer::Work::default());
    let mut restarted = list(1);
    restarted[0].started_ms = 2;
    let changes = balancer.replace(&restarted);
    assert_eq!(
        changes,
        [
            steer::Change::Removed("e0".into()),
            steer::Change::Added("e0".into())
        ]
    );
    assert!(balancer.loads(ms(1)).is_empty());
    balancer.finish(ms(2), run, steer::End::Lost);
    assert!(balancer.loads(ms(3)).is_empty());
}

#[test]
fn retries_stay_within_the_allowance_of_the_host() {
    // Guards against a retry storm when many answers fail.
    let allowance = steer::Allowance {
        ratio: 0.2,
        slack: 3.0,
        window_s: 10,
    };
    let mut budget = steer::Budget::default();
    let mut spent = 0;
    for round in 0..1_000u64 {
        let now = ms(round * 10);
        budget.deposit(now);
        if budget.try_withdraw(now, allowance) {
            spent += 1;
        }
    }
    assert!(
        (150..=203).contains(&spent),
        "{spent} retries for 1000 requests"
    );
}

#[test]
fn retries_of_past_windows_expire() {
    // Guards against a budget that stays exhausted after one outage.
    let allowance = steer::Allowance {
        ratio: 0.0,
        slack: 2.0,
        window_s: 10,
    };
    let mut budget = steer::Budget::default();
    assert!(budget.try_withdraw(ms(0), allowance));
    assert!(budget.try_withdraw(ms(0), allowance));
    assert!(!budget.try_withdraw(ms(5_000), allowance));
    assert!(budget.try_withdraw(ms(12_000), allowance));
}

#[test]
fn an_endpoint_that_two_hosts_report_unreachable_is_avoided() {
    // Guards against every host finding out by its own requests that an endpoint is down.
    let mut one = balancer(2);
    let mut others = [balancer(2), balancer(2)];
    let down = sent(&mut one, 0, 1);
    for other in &mut others {
        let key = (0..20)
            .map(|seed| sent(other, 0, seed))
            .find(|pick| pick.id == down.id)
            .expect("both endpoints are used");
        other.mark_unreachable(ms(0), key.key);
    }
    one.apply_loads(ms(10), 1, &others[0].loads(ms(10)));
    assert!((0..40).any(|seed| sent(&mut one, 20, seed).id == down.id));
    one.apply_loads(ms(10), 2, &others[1].loads(ms(10)));
    assert!((0..40).all(|seed| sent(&mut one, 20, seed).id != down.id));
}

#[test]
fn an_endpoint_without_room_is_avoided_for_a_moment() {
    // Guards against sending more requests to an endpoint that has just refused one.
    let mut balancer = balancer(2);
    let full = run(&mut balancer, 0, 1, |_| steer::End::Full);
    assert!((0..40).all(|seed| sent(&mut balancer, 50, seed).id != full));
    assert!((0..40).any(|seed| sent(&mut balancer, 1_000, seed).id == full));
}

#[test]
fn random_failures_eject_no_endpoint() {
    // Guards against treating chance as an outage: each request fails with the same
    // probability at every endpoint.
    let mut balancer = balancer(4);
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let mut counts = std::collections::HashMap::new();
    for round in 0..400u64 {
        let end = match rng.random_bool(0.14) {
            true => steer::End::Failed,
            false => steer::End::Served,
        };
        let id = run(&mut balancer, round * 10, round, |_| end);
        *counts.entry(id).or_insert(0u32) += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|&count| count >= 40), "{counts:?}");
}
