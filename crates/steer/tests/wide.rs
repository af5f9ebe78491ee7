//! Choice by many hosts in several data centres, each of which sees a small
//! part of the load.

use core::time;
use std::collections;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

const SERVICE: &str = "models";
const DATA_CENTRES: usize = 4;
const HOSTS: usize = 32;
const ENDPOINTS: usize = 48;
const SLOTS: u32 = 16;

/// Time that a request runs.
const RUN_MS: u64 = 800;

/// Period of the news of a host.
const NEWS_MS: u64 = 250;

/// Hosts of other data centres that hear each news.
const FAR_TARGETS: usize = 2;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

struct Host {
    fleet: steer::Balancer,
    rng: rand_pcg::Pcg64Mcg,
    data_centre: usize,
}

fn host(index: usize) -> Host {
    let data_centre = index % DATA_CENTRES;
    let mut fleet = steer::Balancer::new(steer::Options {
        data_centre: format!("dc{data_centre}"),
        ..steer::Options::default()
    });
    let list: Vec<plan::Endpoint> = (0..ENDPOINTS)
        .map(|index| plan::Endpoint {
            id: format!("e{index}"),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            data_centre: format!("dc{}", index % DATA_CENTRES),
            slots: SLOTS,
            phase: plan::Phase::Up,
            started_ms: 0,
        })
        .collect();
    fleet.replace(&list);
    fleet.set_services(&[plan::Service {
        name: SERVICE.into(),
        health_path: "/health".into(),
        connections_max: 700,
        engine: Some(plan::Engine {
            kv_capacity_tokens: 240_000,
        }),
    }]);
    Host {
        fleet,
        rng: rand_pcg::Pcg64Mcg::seed_from_u64(index as u64),
        data_centre,
    }
}

/// What the engines saw of a load.
#[derive(Debug, Default)]
struct Seen {
    sent: u32,
    refused: u32,
    /// Requests that came to an engine without a free place.
    beyond: u32,
}

/// Tells the other hosts the news of one.
fn tell(hosts: &mut [Host], from: usize, now: u64, rng: &mut rand_pcg::Pcg64Mcg) {
    let loads = hosts[from].fleet.loads(ms(now));
    let sum = hosts[from].fleet.sum(ms(now));
    let data_centre = hosts[from].data_centre;
    let far = (0..hosts.len())
        .filter(|&to| hosts[to].data_centre != data_centre)
        .sample(rng, FAR_TARGETS);
    for (to, host) in hosts.iter_mut().enumerate() {
        if to != from && host.data_centre == data_centre {
            host.fleet.apply_loads(ms(now), from as u64, &loads);
        } else if far.contains(&to) {
            host.fleet.apply_sum(ms(now), data_centre as u64, &sum);
        }
    }
}

/// Plays requests that keep this share of all places busy on the mean.
/// `crowded` is the share that arrives in the first data centre.
fn play(busy: f64, crowded: f64) -> Seen {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let mut hosts: Vec<Host> = (0..HOSTS).map(host).collect();
    let mut running: collections::HashMap<String, u32> = collections::HashMap::new();
    let mut ends: collections::VecDeque<(u64, usize, String, steer::Run)> =
        collections::VecDeque::new();
    let mut seen = Seen::default();
    let mut due = 0.0;
    for now in 0..6_000u64 {
        for index in 0..HOSTS {
            if (now + index as u64 * NEWS_MS / HOSTS as u64).is_multiple_of(NEWS_MS) {
                tell(&mut hosts, index, now, &mut rng);
            }
        }
        while ends.front().is_some_and(|(end, ..)| *end <= now) {
            let (_, index, id, run) = ends.pop_front().expect("an end is due");
            hosts[index].fleet.finish(ms(now), run, steer::End::Served);
            *running.get_mut(&id).expect("it runs") -= 1;
        }
        due += ENDPOINTS as f64 * f64::from(SLOTS) * busy / RUN_MS as f64;
        while due >= 1.0 {
            due -= 1.0;
            let index = match rng.random_bool(crowded) {
                true => rng.random_range(0..HOSTS / DATA_CENTRES) * DATA_CENTRES,
                false => rng.random_range(0..HOSTS),
            };
            let host = &mut hosts[index];
            let work = steer::Work {
                parts: vec![steer::Part {
                    id: rng.random(),
                    tokens: 800,
                }],
                prompt_tokens: 800,
                output_tokens_max: 290,
                expected_tokens: None,
            };
            let need = steer::Objective {
                urgency: 0.5,
                remaining: ms(4_000),
                target_first: ms(500),
            };
            let outcome = host
                .fleet
                .pick(ms(now), SERVICE, &work, need, &[], &mut host.rng);
            let steer::Decision::Selected(pick) = outcome else {
                seen.refused += 1;
                continue;
            };
            let mut run = host.fleet.start(ms(now), &pick, &work);
            host.fleet.record_first_event(ms(now), &mut run);
            let count = running.entry(pick.id.clone()).or_default();
            seen.beyond += u32::from(*count >= SLOTS);
            seen.sent += 1;
            *count += 1;
            ends.push_back((now + RUN_MS, index, pick.id, run));
        }
    }
    seen
}

/// Checks that 95 in 100 requests were sent and found a free place.
fn assert_on_time(seen: &Seen) {
    let late = seen.beyond + seen.refused;
    assert!(late * 20 <= seen.sent + seen.refused, "{seen:?}");
}

#[test]
fn engines_are_not_overfilled_by_hosts_far_away() {
    // Guards against hosts that take engines of other data centres for idle, because they
    // hear of each other too seldom.
    let seen = play(0.6, 0.0);
    assert_on_time(&seen);
}

#[test]
fn a_crowd_in_one_data_centre_uses_the_engines_of_the_others() {
    // Guards against refusals in one data centre while engines elsewhere are idle.
    let seen = play(0.5, 0.6);
    assert_on_time(&seen);
}
