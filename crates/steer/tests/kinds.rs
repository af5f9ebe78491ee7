//! Selection by the loads that other hosts publish, and by the kind of work.

mod common;

use std::collections;

use common::{Host, SERVICE, bulk, endpoint, interactive, ms};

/// Counts the endpoints that `host` selects for 60 interactive requests, without
/// sending them.
fn spread(host: &mut Host, now: u64) -> collections::HashMap<String, u32> {
    let mut counts = collections::HashMap::new();
    for own in 0..60 {
        if let steer::Decision::Selected(pick) = host.pick(now, &interactive(own), 0.5) {
            *counts.entry(pick.id).or_default() += 1;
        }
    }
    counts
}

#[test]
fn an_idle_local_endpoint_is_preferred_to_a_remote_one() {
    // Guards against traffic between data centres that saves no time.
    let mut host = Host::new(1, "dc0", 6);
    for id in spread(&mut host, 0).into_keys() {
        assert!(
            ["e0", "e2", "e4"].contains(&id.as_str()),
            "{id} is in the other data centre"
        );
    }
}

#[test]
fn a_load_that_another_host_publishes_counts_immediately() {
    // Guards against hosts that fill the same engine at the same time.
    let mut host = Host::new(1, "dc0", 10);
    let mut other = Host::new(1, "dc0", 10);
    let pick = other.send(0, &interactive(0)).expect("endpoint");
    assert!(spread(&mut host, 0).contains_key(&pick.id));
    let mut loads = other.balancer.loads(ms(0));
    loads[0].running = 40;
    loads[0].prefill_tokens = 40_000;
    host.balancer.apply_loads(ms(0), 7, &loads);
    assert!(!spread(&mut host, 10).contains_key(&pick.id));
    // A load that is not published again expires.
    assert!(spread(&mut host, 2_000).contains_key(&pick.id));
}

#[test]
fn long_prompts_that_would_miss_their_target_are_refused_immediately() {
    // Guards against a peak of load that delays all prompts beyond their target instead of
    // refusing some.
    let mut host = Host::new(1, "dc0", 1);
    let objective = steer::Objective {
        urgency: 0.0,
        remaining: ms(60_000),
        target_first: ms(500),
    };
    // Prompt tokens that an engine processes within the target at the assumed initial speed.
    let processable = 500 * 45;
    let mut ahead = 0;
    for own in 0..20 {
        let work = bulk(own, own);
        let outcome = host
            .balancer
            .pick(ms(0), SERVICE, &work, objective, &[], &mut host.rng);
        if let steer::Decision::Selected(pick) = outcome {
            assert!(ahead <= processable, "{ahead} tokens are pending");
            ahead += pick.prefill_tokens;
            host.runs.push(host.balancer.start(ms(0), &pick, &work));
        }
    }
    assert!(ahead > processable / 2, "only {ahead} tokens were admitted");
}

#[test]
fn a_slow_endpoint_loses_work_only_while_its_report_is_recent() {
    // Guards against requests that are late because another process on the machine slows the
    // endpoint for a moment.
    let mut host = Host::new(1, "dc0", 1);
    // Enough engines for several to be reserved for interactive work.
    let list: Vec<plan::Endpoint> = (0..10).map(|index| endpoint(index, 1)).collect();
    host.balancer.replace(&list);
    let steer::Decision::Selected(pick) = host.pick(0, &interactive(0), 0.5) else {
        panic!("an idle endpoint was refused");
    };
    let slow = steer::Report {
        running: 0,
        waiting: 0,
        slowness_percent: 250,
    };
    host.balancer.record_report(ms(0), pick.key, slow);
    let counts = spread(&mut host, 10);
    assert!(!counts.contains_key(&pick.id), "{counts:?}");
    let counts = spread(&mut host, 1_000);
    assert!(counts.contains_key(&pick.id), "{counts:?}");
}

#[test]
fn received_load_reports_are_not_forwarded() {
    // Guards against datagrams that every host fills with the reports of all others.
    let mut one = Host::new(1, "dc0", 10);
    let mut other = Host::new(2, "dc0", 10);
    let pick = one.send(0, &interactive(0)).expect("endpoint");
    let report = steer::Report {
        running: 3,
        waiting: 0,
        slowness_percent: 100,
    };
    one.balancer.record_report(ms(0), pick.key, report);
    one.drain(10);
    let loads = one.balancer.loads(ms(20));
    assert_eq!(loads.len(), 1);
    other.balancer.apply_loads(ms(30), 1, &loads);
    assert_eq!(other.balancer.loads(ms(40)), []);
    assert_eq!(one.balancer.loads(ms(1_000)), []);
}

#[test]
fn a_peak_of_long_prompts_leaves_enough_engines_for_short_requests() {
    // Guards against a peak of one kind of work that leaves too few engines to the other.
    let mut host = Host::new(1, "dc0", 1);
    let list: Vec<plan::Endpoint> = (0..20).map(|index| endpoint(index, 1)).collect();
    host.balancer.replace(&list);
    host.send(0, &interactive(0));
    let service = host.balancer.demands(ms(0))[0].0;
    // Bulk work needs 30 engines and interactive work 4, of 20.
    let seconds = 2.5;
    let amounts = steer::Demand {
        bulk_ms: 30_000.0 * seconds,
        interactive_ms: 4_000.0 * seconds,
    };
    host.balancer
        .apply_demands_sum(ms(0), 1, &vec![(service, amounts)]);
    let mut long = collections::HashSet::new();
    for own in 0..200 {
        if let steer::Decision::Selected(pick) = host.pick(0, &bulk(own, own), 0.0) {
            long.insert(pick.id);
        }
    }
    let free = 20 - long.len();
    assert!(
        (5..=8).contains(&free),
        "{free} engines are left for short prompts"
    );
}

#[test]
fn a_long_prompt_is_not_placed_on_an_engine_that_runs_short_requests() {
    // Guards against one long prompt that delays the tokens of many answers.
    let mut host = Host::new(1, "dc0", 1);
    let list: Vec<plan::Endpoint> = (0..10).map(|index| endpoint(index, 1)).collect();
    host.balancer.replace(&list);
    host.send(0, &interactive(0));
    let service = host.balancer.demands(ms(0))[0].0;
    // Interactive work needs half of the engines.
    let amounts = steer::Demand {
        bulk_ms: 0.0,
        interactive_ms: 5_000.0 * 2.5,
    };
    host.balancer
        .apply_demands_sum(ms(0), 1, &vec![(service, amounts)]);
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
    // Guards against engines that are reserved for output that is never generated.
    let mut host = Host::new(1, "dc0", 4);
    let work = steer::Work {
        output_tokens_max: 4_000,
        expected_tokens: Some(100),
        ..interactive(0)
    };
    host.send(0, &work).expect("endpoint");
    let ms = host.balancer.demands(ms(0))[0].1.interactive_ms;
    assert!(
        (20.0..100.0).contains(&ms),
        "{ms} ms for 800 prompt and 100 output tokens"
    );
}

#[test]
fn a_request_is_not_refused_while_any_engine_has_room() {
    // Guards against refusals by hosts that compare only a sample of the engines.
    let mut host = Host::new(1, "dc0", 20);
    let mut other = Host::new(2, "dc0", 20);
    for own in 0..400 {
        other.send_as(0, &interactive(own), 1.0);
        other.send_as(0, &bulk(own, own), 1.0);
    }
    let mut loads = other.balancer.loads(ms(0));
    assert_eq!(loads.len(), 20, "every engine has work of the other host");
    for load in &mut loads {
        load.running = 64;
    }
    // One of 20 engines has no load.
    loads.truncate(19);
    host.balancer.apply_loads(ms(0), 7, &loads);
    for own in 0..40 {
        let outcome = host.pick(10, &interactive(own), 0.0);
        assert!(
            matches!(outcome, steer::Decision::Selected(_)),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_crest_of_long_prompts_leaves_a_small_fleet_an_engine_for_short_requests() {
    // Guards against a share for interactive work that is smaller than one engine, so that no
    // engine is free of long prompts.
    for data_centres in [1, 2, 3, 4] {
        let mut host = Host::new(1, "dc0", 1);
        let list: Vec<plan::Endpoint> = (0..9).map(|index| endpoint(index, data_centres)).collect();
        host.balancer.replace(&list);
        host.send(0, &interactive(0));
        let service = host.balancer.demands(ms(0))[0].0;
        let amounts = steer::Demand {
            bulk_ms: 9_000.0 * 2.5,
            interactive_ms: 100.0,
        };
        host.balancer
            .apply_demands_sum(ms(0), 1, &vec![(service, amounts)]);
        let mut long = collections::HashSet::new();
        for own in 0..400 {
            if let Some(pick) = host.send_as(0, &bulk(own, own), 0.0) {
                long.insert(pick.id);
            }
        }
        let short = spread(&mut host, 0);
        let beside: Vec<&String> = short.keys().filter(|id| long.contains(*id)).collect();
        assert!(
            beside.is_empty() && long.len() >= 5,
            "{data_centres} data centres: short requests beside long prompts at {beside:?}"
        );
    }
}
