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
        expected_tokens: None,
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
        expected_tokens: None,
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
    let mut host = Host::new(1, "dc0", 10);
    let mut other = Host::new(1, "dc0", 10);
    let pick = other.send(0, &interactive(0)).expect("endpoint");
    assert!(spread(&mut host, 0).contains_key(&pick.id));
    let mut loads = other.fleet.loads(ms(0));
    loads[0].running = 40;
    loads[0].unread_tokens = 40_000;
    host.fleet.hear(ms(0), 7, &loads);
    assert!(!spread(&mut host, 10).contains_key(&pick.id));
    // What is not repeated is void.
    assert!(spread(&mut host, 2_000).contains_key(&pick.id));
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
    // Enough for several that are kept for short work.
    let list: Vec<plan::Endpoint> = (0..10).map(|index| endpoint(index, 1)).collect();
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

#[test]
fn reports_that_were_heard_are_not_told_again() {
    // Guards against news that every host fills with the reports of all others.
    let mut one = Host::new(1, "dc0", 10);
    let mut other = Host::new(2, "dc0", 10);
    let pick = one.send(0, &interactive(0)).expect("endpoint");
    let report = steer::Report {
        running: 3,
        waiting: 0,
        slowness_percent: 100,
    };
    one.fleet.report(ms(0), pick.key, report);
    one.drain(10);
    let loads = one.fleet.loads(ms(20));
    assert_eq!(loads.len(), 1);
    other.fleet.hear(ms(30), 1, &loads);
    assert_eq!(other.fleet.loads(ms(40)), []);
    assert_eq!(one.fleet.loads(ms(1_000)), []);
}

#[test]
fn at_a_crest_of_long_prompts_short_work_keeps_the_engines_it_needs() {
    // Guards against a crest of one kind of work that leaves too few engines to the other.
    let mut host = Host::new(1, "dc0", 1);
    let list: Vec<plan::Endpoint> = (0..20).map(|index| endpoint(index, 1)).collect();
    host.fleet.replace(&list);
    host.send(0, &interactive(0));
    let service = host.fleet.demands(ms(0))[0].0;
    // Of 20 engines, long prompts ask for 30 and short ones for 4.
    let seconds = 2.5;
    let amounts = steer::Amounts {
        bulk_ms: 30_000.0 * seconds,
        interactive_ms: 4_000.0 * seconds,
    };
    host.fleet
        .hear_demands_sum(ms(0), 1, &vec![(service, amounts)]);
    let mut long = collections::HashSet::new();
    for own in 0..200 {
        if let steer::Outcome::Sent(pick) = host.pick(0, &bulk(own, own), 0.0) {
            long.insert(pick.id);
        }
    }
    let free = 20 - long.len();
    assert!(
        (5..=8).contains(&free),
        "{free} engines are left to short prompts"
    );
}

#[test]
fn a_long_prompt_does_not_join_the_short_ones() {
    // Guards against pauses in many answers for the sake of one long prompt.
    let mut host = Host::new(1, "dc0", 1);
    let list: Vec<plan::Endpoint> = (0..10).map(|index| endpoint(index, 1)).collect();
    host.fleet.replace(&list);
    host.send(0, &interactive(0));
    let service = host.fleet.demands(ms(0))[0].0;
    // Short prompts ask for half of the engines.
    let amounts = steer::Amounts {
        bulk_ms: 0.0,
        interactive_ms: 5_000.0 * 2.5,
    };
    host.fleet
        .hear_demands_sum(ms(0), 1, &vec![(service, amounts)]);
    let mut short = collections::HashSet::new();
    for own in 0..20 {
        short.insert(host.send(0, &interactive(own)).expect("endpoint").id);
    }
    for own in 0..400 {
        if let Some(pick) = host.send_as(0, &bulk(own, own), 0.0) {
            assert!(!short.contains(&pick.id), "{} runs short requests", pick.id);
        }
    }
}

#[test]
fn the_expected_length_of_an_answer_counts_not_the_longest_one() {
    // Guards against engines that are kept for answers which are never written.
    let mut host = Host::new(1, "dc0", 4);
    let work = steer::Work {
        output_tokens: 4_000,
        expected_tokens: Some(100),
        ..interactive(0)
    };
    host.send(0, &work).expect("endpoint");
    let ms = host.fleet.demands(ms(0))[0].1.interactive_ms;
    assert!(
        (20.0..100.0).contains(&ms),
        "{ms} ms for 800 and 100 tokens"
    );
}

#[test]
fn a_request_is_not_refused_while_any_engine_has_room() {
    // Guards against refusals by hosts that compare only some of the engines.
    let mut host = Host::new(1, "dc0", 20);
    let mut other = Host::new(2, "dc0", 20);
    for own in 0..400 {
        other.send_as(0, &interactive(own), 1.0);
        other.send_as(0, &bulk(own, own), 1.0);
    }
    let mut loads = other.fleet.loads(ms(0));
    assert_eq!(loads.len(), 20, "every engine has work of the other host");
    for load in &mut loads {
        load.running = 64;
    }
    // One of twenty engines is free.
    loads.truncate(19);
    host.fleet.hear(ms(0), 7, &loads);
    for own in 0..40 {
        let outcome = host.pick(10, &interactive(own), 0.0);
        assert!(matches!(outcome, steer::Outcome::Sent(_)), "{outcome:?}");
    }
}
