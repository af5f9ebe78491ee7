//! A peak of long prompts of low urgency, beside more urgent kinds of work with
//! tighter targets: the least urgent work is refused first, whatever the targets.

mod common;

use common::{Host, SERVICE, bulk, endpoint, ms};
use rstest::rstest;

const ENGINES: usize = 10;

/// A long prompt of low urgency whose target is several times that of urgent work.
const LENIENT: steer::Objective = steer::Objective {
    urgency: 0.0,
    remaining: ms_const(10_000),
    target_first: ms_const(2_000),
};

/// A long prompt that is more urgent and has a tighter target.
const TIGHT: steer::Objective = steer::Objective {
    urgency: 0.2,
    remaining: ms_const(5_000),
    target_first: ms_const(600),
};

const fn ms_const(ms: u64) -> core::time::Duration {
    core::time::Duration::from_millis(ms)
}

/// Returns a host that has seen both kinds of long prompts, with `backlog_ms` of
/// prompts pending at each engine.
fn busy_host(backlog_ms: u32) -> Host {
    let mut host = Host::new(1, "dc0", 1);
    let list: Vec<plan::Endpoint> = (0..ENGINES).map(|index| endpoint(index, 1)).collect();
    host.balancer.replace(&list);
    for (own, objective) in [(1, LENIENT), (2, TIGHT)] {
        is_admitted(&mut host, 0, &bulk(own, own), objective);
    }
    let mut other = Host::new(2, "dc0", 1);
    other.balancer.replace(&list);
    for own in 0..400 {
        other.send_as(0, &bulk(own, own), 1.0);
    }
    let mut loads = other.balancer.loads(ms(0));
    // Prompt tokens at the assumed initial speed.
    loads
        .iter_mut()
        .for_each(|load| load.prefill_tokens = backlog_ms * 45);
    host.balancer.apply_loads(ms(0), 7, &loads);
    host
}

fn is_admitted(host: &mut Host, now: u64, work: &steer::Work, objective: steer::Objective) -> bool {
    let picked = host
        .balancer
        .pick(ms(now), SERVICE, work, objective, &[], &mut host.rng);
    matches!(picked, steer::Decision::Selected(_))
}

#[test]
fn a_lenient_target_admits_no_long_prompt_where_a_more_urgent_one_is_refused() {
    // Guards against urgent prompts that are refused at a backlog at which less urgent ones
    // with a longer target are still admitted.
    let mut is_lenient_admitted = true;
    for backlog_ms in (0..3_000).step_by(50) {
        let mut host = busy_host(backlog_ms);
        let lenient = is_admitted(&mut host, 0, &bulk(7, 7), LENIENT);
        let tight = is_admitted(&mut host, 0, &bulk(8, 8), TIGHT);
        assert!(
            tight || !lenient,
            "only the less urgent prompt is admitted at a backlog of {backlog_ms} ms"
        );
        is_lenient_admitted = lenient;
    }
    assert!(!is_lenient_admitted, "no prompt was refused");
}

#[test]
fn a_lenient_target_applies_again_after_the_more_urgent_prompts_have_ended() {
    // Guards against a bound that outlasts the kind of work that it protects.
    let mut host = busy_host(0);
    let mut loads = host.balancer.loads(ms(0));
    assert!(loads.is_empty());
    let mut other = busy_host(0);
    for own in 0..400 {
        other.send_as(60_000, &bulk(own, own), 1.0);
    }
    loads = other.balancer.loads(ms(60_000));
    loads
        .iter_mut()
        .for_each(|load| load.prefill_tokens = 1_400 * 45);
    host.balancer.apply_loads(ms(60_000), 7, &loads);
    assert!(is_admitted(&mut host, 60_000, &bulk(7, 7), LENIENT));
}

#[rstest]
#[case::no_answer_to_speak_of(20)]
#[case::short_answer(100)]
#[case::long_answer(400)]
fn a_short_urgent_prompt_is_not_refused_for_the_backlog_of_long_ones(#[case] output: u32) {
    // Guards against short prompts with short answers that count as bulk work, so that they
    // are refused while long prompts of less urgent work begin.
    let mut host = busy_host(1_500);
    let work = steer::Work {
        parts: vec![steer::Part {
            id: 3_000_001,
            tokens: 1_460,
        }],
        prompt_tokens: 1_460,
        output_tokens_max: 4 * output,
        expected_tokens: Some(output),
    };
    let objective = steer::Objective {
        urgency: 0.4,
        remaining: ms(10_000),
        target_first: ms(400),
    };
    assert!(is_admitted(&mut host, 0, &work, objective));
}

#[test]
fn hosts_without_news_of_each_other_pile_no_long_prompts_on_an_idle_engine() {
    // Guards against several hosts that each send a long prompt to the same engine for
    // interactive work, because it is idle in the last loads that they received.
    let list: Vec<plan::Endpoint> = (0..ENGINES).map(|index| endpoint(index, 1)).collect();
    let mut other = Host::new(2, "dc0", 1);
    other.balancer.replace(&list);
    for own in 0..400 {
        other.send_as(0, &bulk(own, own), 1.0);
    }
    // The engines for bulk work are busy; those for interactive work are idle.
    let loads = other.balancer.loads(ms(0));
    let busy: Vec<u32> = loads.iter().map(|load| load.tag).collect();
    assert!(busy.len() < ENGINES, "no engine is idle");
    let mut piled = 0;
    for seed in 0..16 {
        let mut host = Host::new(seed, "dc0", 1);
        host.balancer.replace(&list);
        host.balancer.apply_loads(ms(0), 7, &loads);
        let picked = host.balancer.pick(
            ms(0),
            SERVICE,
            &bulk(900 + seed, seed),
            LENIENT,
            &[],
            &mut host.rng,
        );
        if let steer::Decision::Selected(pick) = picked {
            piled += u32::from(!pick.is_reserved);
        }
    }
    assert_eq!(piled, 0, "of 16 hosts");
}

#[test]
fn refused_work_counts_as_demand() {
    // Guards against engines that stay reserved for interactive work, because long prompts
    // are refused and therefore do not count as demand for the other engines.
    let mut host = Host::new(1, "dc0", 1);
    let list: Vec<plan::Endpoint> = (0..ENGINES).map(|index| endpoint(index, 1)).collect();
    host.balancer.replace(&list);
    for own in 0..20 {
        host.send(0, &common::interactive(own)).expect("endpoint");
    }
    // The few engines for long prompts are busy.
    for own in 0..400 {
        host.send_as(0, &bulk(own, own), 0.0);
    }
    let before = host.balancer.demands(ms(0))[0].1.bulk_ms;
    let mut refused = 0;
    for own in 0..50 {
        let picked = host.pick(0, &bulk(500 + own, own), 0.0);
        refused += u32::from(matches!(picked, steer::Decision::Refused(_)));
    }
    assert_eq!(refused, 50);
    let after = host.balancer.demands(ms(0))[0].1.bulk_ms;
    // Each refused prompt would have taken its own part at least, 2,900 of 45 tokens a ms.
    assert!(
        after - before >= 50.0 * 60.0,
        "{before} ms before and {after} ms after"
    );
}

#[test]
fn an_uncached_urgent_prompt_is_not_refused_where_a_cached_less_urgent_one_is_admitted() {
    // Guards against a crest on cold caches that refuses urgent prompts which have to be read,
    // while less urgent ones whose shared parts were read before begin.
    let mut admitted = 0;
    for backlog_ms in (0..900).step_by(50) {
        let mut host = busy_host(backlog_ms);
        let mut other = Host::new(2, "dc0", 1);
        let list: Vec<plan::Endpoint> = (0..ENGINES).map(|index| endpoint(index, 1)).collect();
        other.balancer.replace(&list);
        for own in 0..400 {
            other.send_as(0, &bulk(own, own), 1.0);
        }
        // Half of the engines are far beyond the bound, so that the engines that rank first
        // for some prompts refuse them.
        let mut loads = other.balancer.loads(ms(0));
        for (index, load) in loads.iter_mut().enumerate() {
            let is_full = index.is_multiple_of(2);
            load.prefill_tokens = if is_full { 3_000 } else { backlog_ms } * 45;
        }
        host.balancer.apply_loads(ms(0), 7, &loads);
        // Every engine has read the prompt of the less urgent request.
        let work = bulk(7, 1_000);
        let placements: Vec<steer::Placement> = loads
            .iter()
            .flat_map(|load| {
                work.shared().iter().map(|part| steer::Placement {
                    part: part.id,
                    tokens: part.tokens,
                    endpoint: load.tag,
                })
            })
            .collect();
        host.balancer.apply_placements(ms(0), &placements);
        if !is_admitted(&mut host, 0, &work, LENIENT) {
            continue;
        }
        admitted += 1;
        let refused = (0..20)
            .filter(|own| !is_admitted(&mut host, 0, &bulk(100 + own, 2_000 + own), TIGHT))
            .count();
        assert_eq!(
            refused, 0,
            "of 20 urgent prompts at a backlog of {backlog_ms} ms"
        );
    }
    assert!(
        admitted > 4,
        "a less urgent prompt was admitted {admitted} times"
    );
}
