//! Selection and refusal under demanding load patterns.

mod common;

use std::collections;

use common::{Host, bulk, interactive, ms};
use rstest::rstest;

#[test]
fn long_prompts_and_short_work_run_on_different_endpoints() {
    // Guards against answers whose tokens are delayed by the prompts of other requests.
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
        "long prompts used {} of 10 endpoints",
        long.len()
    );
    assert!(
        mixed <= 10,
        "{mixed} of 99 short requests ran beside long prompts"
    );
}

#[test]
fn hosts_without_contact_place_a_prompt_at_the_same_endpoint() {
    // Guards against every host filling another endpoint's cache with the same prompt.
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
    assert!(
        same >= 80,
        "both hosts chose the same endpoint for {same} of 100 prompts"
    );
}

#[test]
fn a_prompt_that_moved_is_found_through_the_placements_of_other_hosts() {
    // Guards against processing a shared prompt again because another host does not know that
    // it has moved to a second endpoint.
    let mut one = Host::new(1, "dc0", 12);
    let mut other = Host::new(2, "dc1", 12);
    let work = bulk(7, 1);
    let first = one.send(0, &work).expect("endpoint");
    // The first endpoint is unreachable for a moment, so that the prompt moves.
    one.drain(1);
    one.balancer.mark_unreachable(ms(1), first.key);
    let moved = one.send(2, &work).expect("endpoint");
    assert_ne!(first.id, moved.id);
    let placements: Vec<steer::Placement> = one
        .balancer
        .placements(ms(3))
        .into_iter()
        .rev()
        .take(1)
        .collect();
    other.balancer.apply_placements(ms(4), &placements);
    let pick = other.send(5, &bulk(7, 2)).expect("endpoint");
    assert_eq!(pick.id, moved.id);
    assert_eq!(pick.prefill_tokens, 2_900);
}

#[test]
fn a_popular_prompt_spreads_over_several_endpoints() {
    // Guards against overload of the endpoint that ranks first for a popular prompt.
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
fn long_prompts_beyond_capacity_are_refused_immediately_and_short_requests_are_not() {
    // Guards against a peak of load in which every request misses its target.
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
        matches!(refused, steer::Decision::Refused(busy) if busy.retry_after >= ms(100)),
        "{refused:?}"
    );
    assert!(matches!(
        host.pick(0, &interactive(1), 1.0),
        steer::Decision::Selected(_)
    ));
}

#[rstest]
#[case(1.0, 0.67)]
#[case(0.67, 0.33)]
#[case(0.33, 0.0)]
fn the_less_urgent_request_is_refused_first(#[case] urgent: f64, #[case] other: f64) {
    // Guards against refusing urgent requests while less urgent ones are admitted.
    let mut host = Host::new(1, "dc0", 4);
    for own in 0..400 {
        let work = bulk(own, own);
        let is_refused = |outcome: &steer::Decision| matches!(outcome, steer::Decision::Refused(_));
        if is_refused(&host.pick(0, &work, urgent)) {
            assert!(is_refused(&host.pick(0, &work, other)));
            return;
        }
        host.send_as(0, &work, urgent);
        if !is_refused(&host.pick(0, &work, urgent)) && is_refused(&host.pick(0, &work, other)) {
            return;
        }
    }
    panic!("none of 400 requests was refused");
}

#[test]
fn an_engine_is_not_filled_to_the_point_of_preemption() {
    // Guards against running requests whose KV cache is taken for new ones.
    let mut host = Host::new(1, "dc0", 2);
    let mut held: collections::HashMap<String, u32> = collections::HashMap::new();
    for own in 0..400 {
        if let Some(pick) = host.send(own * 300, &bulk(own, own)) {
            *held.entry(pick.id).or_default() += 9_254;
            // The prompt has been processed and the answer continues.
            let last = host.runs.len() - 1;
            host.balancer
                .record_first_event(ms(own * 300 + 200), &mut host.runs[last]);
        }
    }
    assert_eq!(held.len(), 2);
    for (id, tokens) in held {
        assert!(tokens <= 400_000, "{id} holds {tokens} of 400000 tokens");
    }
}

#[test]
fn loads_of_other_hosts_keep_hosts_from_choosing_the_same_endpoint() {
    // Guards against hosts that all choose the endpoint with the least published load.
    let mut hosts: Vec<Host> = (0..8).map(|seed| Host::new(seed, "dc0", 8)).collect();
    let mut counts: collections::HashMap<String, u32> = collections::HashMap::new();
    for round in 0..10u64 {
        for (index, host) in hosts.iter_mut().enumerate() {
            let own = round * 100 + index as u64;
            let pick = host.send(round * 200, &interactive(own)).expect("endpoint");
            *counts.entry(pick.id).or_default() += 1;
        }
        for from in 0..hosts.len() {
            let loads = hosts[from].balancer.loads(ms(round * 200 + 100));
            for (to, host) in hosts.iter_mut().enumerate() {
                if to != from {
                    host.balancer
                        .apply_loads(ms(round * 200 + 100), from as u64, &loads);
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
