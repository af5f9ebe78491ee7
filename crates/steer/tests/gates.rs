//! Tests of the states in which an endpoint takes no requests.

mod common;

use common::{Host, endpoint, interactive, ms};
use rand::{RngExt, SeedableRng};

/// What is known of an endpoint, without the balancer.
#[derive(Clone, Copy, Debug, Default)]
struct Model {
    started_ms: u64,
    is_listed_leaving: bool,
    says_leaving: bool,
    paused_until: u64,
}

/// Guards against requests to an endpoint that leaves or pauses, and against one that is
/// left alone for good, whatever the order of answers, entries and restarts.
#[test]
fn an_endpoint_is_shut_exactly_while_it_leaves_or_pauses() {
    for seed in 0..200 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut host = Host::new(seed, "dc0", 1);
        let mut model = Model::default();
        let mut key = host.send(0, &interactive(0)).expect("endpoint").key;
        let mut now = 0;
        for step in 0..60 {
            now += rng.random_range(1..400);
            match rng.random_range(0..6) {
                0 => {
                    host.balancer.mark_leaving(key);
                    model.says_leaving = true;
                }
                1 => {
                    let pause = rng.random_range(0..1_500);
                    host.balancer.mark_pausing(ms(now), key, ms(pause));
                    model.paused_until = model.paused_until.max(now + pause);
                }
                2 | 3 => {
                    // The entry of the same process, up or leaving.
                    let is_leaving = rng.random_bool(0.5);
                    if model.is_listed_leaving && !is_leaving {
                        model.says_leaving = false;
                    }
                    model.is_listed_leaving = is_leaving;
                    list(&mut host, model);
                }
                4 => {
                    model = Model {
                        started_ms: model.started_ms + 1,
                        ..Model::default()
                    };
                    list(&mut host, model);
                    let pick = host.send(now, &interactive(step));
                    key = pick.expect("a new process takes requests").key;
                    host.drain(now);
                }
                _ => {}
            }
            let is_leaving = model.says_leaving || model.is_listed_leaving;
            let is_pausing = now < model.paused_until;
            let gate = host.balancer.gate(ms(now), key);
            assert_eq!(gate.is_shut(), is_leaving || is_pausing, "{model:?} {now}");
            let sent = host.send(now, &interactive(step)).is_some();
            host.drain(now);
            assert!(!sent || !gate.is_shut(), "{model:?} {now}");
            // In the second after a pause requests are spread out.
            if !gate.is_shut() && now > model.paused_until + 1_000 {
                assert!(sent, "{model:?} {now}");
            }
        }
    }
}

fn list(host: &mut Host, model: Model) {
    let phase = match model.is_listed_leaving {
        true => plan::Phase::Leaving,
        false => plan::Phase::Up,
    };
    let listed = plan::Endpoint {
        started_ms: model.started_ms,
        phase,
        ..endpoint(0, 2)
    };
    host.balancer.replace(&[listed]);
}

/// Guards against all callers coming back at the moment at which a pause ends.
#[test]
fn requests_are_spread_over_the_second_after_a_pause() {
    let mut host = Host::new(1, "dc0", 1);
    let key = host.send(0, &interactive(0)).expect("endpoint").key;
    host.balancer.mark_pausing(ms(0), key, ms(700));
    let mut sent = 0;
    for now in 0..1_700 {
        let is_sent = host.send(now, &interactive(now)).is_some();
        assert!(!is_sent || now >= 700, "sent at {now} ms");
        sent += u32::from(is_sent);
        host.drain(now);
    }
    assert!((5..=11).contains(&sent), "{sent} requests");
    assert!(host.send(1_700, &interactive(1)).is_some());
}

/// Guards against an endpoint that is used again after it has said that it is leaving,
/// because an older list of the platform, or of another host, names it once more.
#[test]
fn a_process_that_is_listed_again_is_still_shut() {
    let mut host = Host::new(1, "dc0", 1);
    let listed = plan::Endpoint {
        started_ms: 7,
        ..endpoint(0, 2)
    };
    host.balancer.replace(core::slice::from_ref(&listed));
    let key = host.send(0, &interactive(0)).expect("endpoint").key;
    host.balancer.mark_leaving(key);
    host.balancer.replace(&[]);
    host.balancer.replace(core::slice::from_ref(&listed));
    assert!(host.send(10, &interactive(1)).is_none(), "leaving");
    // Another process under its id takes requests, and pauses for a while.
    let next = plan::Endpoint {
        started_ms: 8,
        ..listed
    };
    host.balancer.replace(core::slice::from_ref(&next));
    let key = host.send(20, &interactive(2)).expect("endpoint").key;
    host.balancer.mark_pausing(ms(20), key, ms(1_000));
    host.balancer.replace(&[]);
    host.balancer.replace(core::slice::from_ref(&next));
    assert!(host.send(900, &interactive(3)).is_none(), "pausing");
    assert!(host.send(1_100, &interactive(4)).is_some());
}
