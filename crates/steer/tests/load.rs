//! Choice and refusal under the load patterns that hurt most.

use core::time;
use std::collections;

use rand::SeedableRng;
use rstest::rstest;

const SERVICE: &str = "models";

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn endpoint(index: usize, data_centres: usize) -> plan::Endpoint {
    plan::Endpoint {
        id: format!("e{index}"),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        data_centre: format!("dc{}", index % data_centres),
        slots: 64,
        phase: plan::Phase::Up,
        born_ms: 0,
    }
}

struct Host {
    fleet: steer::Fleet,
    rng: rand_pcg::Pcg64Mcg,
    runs: Vec<steer::Run>,
}

impl Host {
    fn new(seed: u64, data_centre: &str, endpoints: usize) -> Self {
        let mut fleet = steer::Fleet::new(steer::Options {
            data_centre: data_centre.into(),
            ..steer::Options::default()
        });
        let list: Vec<plan::Endpoint> = (0..endpoints).map(|index| endpoint(index, 2)).collect();
        fleet.replace(&list);
        fleet.set_services(&[plan::Service {
            name: SERVICE.into(),
            health_path: "/health".into(),
            connections_max: 700,
            engine: Some(plan::Engine {
                memory_tokens: 400_000,
            }),
        }]);
        Self {
            fleet,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            runs: Vec::new(),
        }
    }

    fn pick(&mut self, now: u64, work: &steer::Work, urgency: f64) -> steer::Outcome {
        let need = steer::Need {
            urgency,
            left: ms(4_000),
            target_first: ms(500),
        };
        self.fleet
            .pick(ms(now), SERVICE, work, need, &[], &mut self.rng)
    }

    /// Picks an endpoint and sends the request there.
    fn send(&mut self, now: u64, work: &steer::Work) -> Option<steer::Pick> {
        self.send_as(now, work, 0.5)
    }

    fn send_as(&mut self, now: u64, work: &steer::Work, urgency: f64) -> Option<steer::Pick> {
        let steer::Outcome::Sent(pick) = self.pick(now, work, urgency) else {
            return None;
        };
        self.runs.push(self.fleet.start(ms(now), &pick, work));
        Some(pick)
    }

    /// Ends all requests.
    fn drain(&mut self, now: u64) {
        for mut run in self.runs.drain(..) {
            self.fleet.first(ms(now), &mut run);
            self.fleet.finish(ms(now), run, steer::End::Served);
        }
    }
}

/// A long prompt about one of many subjects with a short answer.
fn bulk(subject: u64, own: u64) -> steer::Work {
    let part = |id, tokens| steer::Part { id, tokens };
    steer::Work {
        parts: vec![
            part(1, 2_500),
            part(100 + subject, 3_800),
            part(1_000_000 + own, 2_900),
        ],
        prompt_tokens: 9_200,
        output_tokens: 54,
    }
}

/// A short prompt with a long answer.
fn interactive(own: u64) -> steer::Work {
    steer::Work {
        parts: vec![steer::Part {
            id: 2_000_000 + own,
            tokens: 800,
        }],
        prompt_tokens: 800,
        output_tokens: 290,
    }
}

#[test]
fn at_a_crest_of_long_prompts_short_work_runs_on_other_endpoints() {
    // Guards against answers whose tokens wait for the prompts of others.
    let mut host = Host::new(1, "dc0", 10);
    let mut long = collections::HashSet::new();
    let mut mixed = 0;
    for round in 0..200 {
        let now = round * 20;
        if let Some(pick) = host.send(now, &bulk(round % 50, round)) {
            long.insert(pick.id);
        }
        host.drain(now + 10);
        let pick = host.send(now, &interactive(round)).expect("endpoint");
        if round > 100 && long.contains(&pick.id) {
            mixed += 1;
        }
        host.drain(now + 15);
    }
    assert!(
        long.len() >= 3,
        "long prompts use {} of 10 endpoints",
        long.len()
    );
    assert!(
        mixed <= 10,
        "{mixed} of 99 short requests ran beside long prompts"
    );
}

#[test]
fn hosts_that_never_spoke_place_a_prompt_at_the_same_endpoint() {
    // Guards against every host warming its own copy of a shared prompt.
    let mut one = Host::new(1, "dc0", 12);
    let mut other = Host::new(2, "dc1", 12);
    let same = (0..100)
        .filter(|&subject| {
            let work = bulk(subject, subject);
            let a = one.send(0, &work).expect("endpoint").id;
            let b = other.send(0, &work).expect("endpoint").id;
            one.drain(0);
            other.drain(0);
            a == b
        })
        .count();
    assert!(same >= 80, "{same} of 100 prompts met");
}

#[test]
fn a_prompt_that_moved_is_found_through_the_placements_of_other_hosts() {
    // Guards against reading a shared prompt again after its first endpoint was busy.
    let mut one = Host::new(1, "dc0", 12);
    let mut other = Host::new(2, "dc1", 12);
    let work = bulk(7, 1);
    let first = one.send(0, &work).expect("endpoint");
    // The first endpoint is unreachable for a moment and the prompt moves.
    one.drain(1);
    one.fleet.unreachable(ms(1), first.key);
    let moved = one.send(2, &work).expect("endpoint");
    assert_ne!(first.id, moved.id);
    let placements: Vec<steer::Placement> = one
        .fleet
        .placements(ms(3))
        .into_iter()
        .rev()
        .take(1)
        .collect();
    other.fleet.hear_placements(ms(4), &placements);
    let pick = other.send(5, &bulk(7, 2)).expect("endpoint");
    assert_eq!(pick.id, moved.id);
    assert_eq!(pick.unread_tokens, 2_900);
}

#[test]
fn a_hot_prompt_spreads_over_several_endpoints() {
    // Guards against one endpoint that melts under the most popular subject.
    let mut host = Host::new(1, "dc0", 10);
    let mut counts: collections::HashMap<String, u32> = collections::HashMap::new();
    for own in 0..60 {
        if let Some(pick) = host.send(0, &bulk(1, own)) {
            *counts.entry(pick.id).or_default() += 1;
        }
    }
    assert!(
        counts.len() >= 4,
        "the prompt ran on {} endpoints",
        counts.len()
    );
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 30, "{most} of 60 requests ran on one endpoint");
}

#[test]
fn beyond_capacity_long_prompts_are_refused_at_once_and_short_work_is_not() {
    // Guards against a crest in which every request is late.
    let mut host = Host::new(1, "dc0", 4);
    let sent = (0..400)
        .filter(|&own| host.send(0, &bulk(own, own)).is_some())
        .count();
    assert!(sent >= 8, "only {sent} long prompts were sent");
    assert!(
        sent < 200,
        "{sent} long prompts were sent to four endpoints"
    );
    let refused = host.pick(0, &bulk(500, 500), 0.5);
    assert!(
        matches!(refused, steer::Outcome::Busy(busy) if busy.after >= ms(100)),
        "{refused:?}"
    );
    assert!(matches!(
        host.pick(0, &interactive(1), 1.0),
        steer::Outcome::Sent(_)
    ));
}

#[rstest]
#[case(1.0, 0.67)]
#[case(0.67, 0.33)]
#[case(0.33, 0.0)]
fn the_less_urgent_is_refused_first(#[case] urgent: f64, #[case] other: f64) {
    // Guards against shedding urgent work while less urgent work is admitted.
    let mut host = Host::new(1, "dc0", 4);
    for own in 0..400 {
        let work = bulk(own, own);
        let is_refused = |outcome: &steer::Outcome| matches!(outcome, steer::Outcome::Busy(_));
        if is_refused(&host.pick(0, &work, urgent)) {
            assert!(is_refused(&host.pick(0, &work, other)));
            return;
        }
        host.send_as(0, &work, urgent);
        if !is_refused(&host.pick(0, &work, urgent)) && is_refused(&host.pick(0, &work, other)) {
            return;
        }
    }
    panic!("nothing was refused");
}

#[test]
fn an_engine_is_not_filled_to_the_point_of_preemption() {
    // Guards against running requests that lose their memory to new ones.
    let mut host = Host::new(1, "dc0", 2);
    let mut held: collections::HashMap<String, u32> = collections::HashMap::new();
    for own in 0..400 {
        if let Some(pick) = host.send(own * 300, &bulk(own, own)) {
            *held.entry(pick.id).or_default() += 9_254;
            // The prompt is read, the answer goes on.
            let last = host.runs.len() - 1;
            host.fleet.first(ms(own * 300 + 200), &mut host.runs[last]);
        }
    }
    assert_eq!(held.len(), 2);
    for (id, tokens) in held {
        assert!(tokens <= 400_000, "{id} holds {tokens} of 400000 tokens");
    }
}

#[test]
fn loads_of_other_hosts_keep_hosts_from_choosing_the_same_endpoint() {
    // Guards against many hosts that read one report and all choose the emptiest endpoint.
    let mut hosts: Vec<Host> = (0..8).map(|seed| Host::new(seed, "dc0", 8)).collect();
    let mut counts: collections::HashMap<String, u32> = collections::HashMap::new();
    for round in 0..10u64 {
        for (index, host) in hosts.iter_mut().enumerate() {
            let own = round * 100 + index as u64;
            let pick = host.send(round * 200, &interactive(own)).expect("endpoint");
            *counts.entry(pick.id).or_default() += 1;
        }
        for from in 0..hosts.len() {
            let loads = hosts[from].fleet.loads(ms(round * 200 + 100));
            for (to, host) in hosts.iter_mut().enumerate() {
                if to != from {
                    host.fleet.hear(ms(round * 200 + 100), from as u64, &loads);
                }
            }
        }
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(
        most <= 40,
        "{most} of 80 requests ran on one of 8 endpoints"
    );
}

/// Counts at which endpoints of `host` short requests would run.
fn spread(host: &mut Host, now: u64) -> collections::HashMap<String, u32> {
    let mut counts = collections::HashMap::new();
    for own in 0..60 {
        if let steer::Outcome::Sent(pick) = host.pick(now, &interactive(own), 0.5) {
            *counts.entry(pick.id).or_default() += 1;
        }
    }
    counts
}

#[test]
fn an_idle_endpoint_nearby_goes_before_one_far_away() {
    // Guards against traffic between data centres that saves no time.
    let mut host = Host::new(1, "dc0", 6);
    for id in spread(&mut host, 0).into_keys() {
        assert!(
            ["e0", "e2", "e4"].contains(&id.as_str()),
            "{id} is far away"
        );
    }
}

#[test]
fn a_load_that_another_host_tells_counts_at_once() {
    // Guards against a host that fills an engine that others fill at the same time.
    let mut host = Host::new(1, "dc0", 3);
    let mut other = Host::new(2, "dc0", 3);
    assert!(spread(&mut host, 0).contains_key("e0"));
    for own in 0..20 {
        while !other
            .send_as(0, &interactive(own), 1.0)
            .is_some_and(|pick| pick.id == "e0")
        {}
    }
    let mut loads = other.fleet.loads(ms(0));
    // The other host has most work at one endpoint only.
    loads.sort_by_key(|load| core::cmp::Reverse(load.running));
    loads.truncate(1);
    host.fleet.hear(ms(0), 7, &loads);
    assert_eq!(spread(&mut host, 0).len(), 1);
    // What is not repeated is void.
    assert!(spread(&mut host, 2_000).len() > 1);
}

#[test]
fn long_prompts_that_would_be_late_are_refused_before_they_wait() {
    // Guards against a crest that makes every prompt late instead of some.
    let mut host = Host::new(1, "dc0", 1);
    let need = steer::Need {
        urgency: 0.0,
        left: ms(60_000),
        target_first: ms(500),
    };
    // Tokens that an engine reads within the target until it has shown its speed.
    let readable = 500 * 45;
    let mut ahead = 0;
    for own in 0..20 {
        let work = bulk(own, own);
        let outcome = host
            .fleet
            .pick(ms(0), SERVICE, &work, need, &[], &mut host.rng);
        if let steer::Outcome::Sent(pick) = outcome {
            assert!(ahead <= readable, "{ahead} tokens are read first");
            ahead += pick.unread_tokens;
            host.runs.push(host.fleet.start(ms(0), &pick, &work));
        }
    }
    assert!(ahead > readable / 2, "only {ahead} tokens were admitted");
}

#[test]
fn a_slow_moment_of_an_endpoint_shifts_work_without_ejecting_it() {
    // Guards against a neighbour on one machine that makes requests late.
    let mut host = Host::new(1, "dc0", 1);
    let list: Vec<plan::Endpoint> = (0..3).map(|index| endpoint(index, 1)).collect();
    host.fleet.replace(&list);
    let steer::Outcome::Sent(pick) = host.pick(0, &interactive(0), 0.5) else {
        panic!("an idle endpoint was refused");
    };
    let slow = steer::Report {
        running: 0,
        waiting: 0,
        slowness_percent: 250,
    };
    host.fleet.report(ms(0), pick.key, slow);
    let counts = spread(&mut host, 10);
    assert!(!counts.contains_key(&pick.id), "{counts:?}");
    let counts = spread(&mut host, 1_000);
    assert!(counts.contains_key(&pick.id), "{counts:?}");
}
