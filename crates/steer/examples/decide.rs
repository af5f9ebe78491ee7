//! Measures the time of a decision, to compare builds.
//!
//! `cargo run --release -p steer --example decide`

use core::time;
use std::hint;
use std::time::Instant;

use rand::{RngExt, SeedableRng};

/// Decisions in one measurement.
const DECISIONS: u32 = 4_000;

/// Measurements, of which the fastest counts: others are slowed down by other processes.
const REPEATS: usize = 15;

const ENGINES: usize = 112;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn endpoint(index: usize, service: &str) -> plan::Endpoint {
    plan::Endpoint {
        id: format!("{service}-{index}"),
        service: service.into(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        data_centre: format!("dc{}", index % 3),
        slots: 12,
        phase: plan::Phase::Up,
        started_ms: 0,
        build: Some("v1".into()),
    }
}

fn service(name: &str, kv_token_bytes: Option<u64>) -> plan::Service {
    plan::Service {
        name: name.into(),
        health_path: "/health".into(),
        connections_max: 700,
        engine: kv_token_bytes.map(|kv_token_bytes| plan::Engine {
            kv_capacity_tokens: 277_241,
            event_tokens: 5,
            kv_token_bytes,
        }),
        cold: None,
    }
}

fn balancer(has_peers: bool) -> steer::Balancer {
    let mut balancer = steer::Balancer::new(steer::Options {
        data_centre: "dc0".into(),
        ..steer::Options::default()
    });
    let services = [
        service("weighed", Some(131_072)),
        service("fixed", Some(0)),
        service("plain", None),
    ];
    let list: Vec<plan::Endpoint> = ["weighed", "fixed"]
        .into_iter()
        .flat_map(|name| (0..ENGINES).map(move |index| endpoint(index, name)))
        .chain((0..3).map(|index| endpoint(index, "plain")))
        .collect();
    balancer.replace(&list);
    balancer.set_services(&services);
    if has_peers {
        balancer.apply_loads(ms(0), 1, &[]);
    }
    balancer
}

fn work(rng: &mut rand_pcg::Pcg64Mcg) -> steer::Work {
    let text = rng.random_range(0..433u64);
    let part = |id, tokens| steer::Part { id, tokens };
    steer::Work {
        parts: vec![
            part(1 + text % 4, 2_520),
            part(100 + text, 3_780),
            part(rng.random(), 2_890),
        ],
        prompt_tokens: 9_190,
        output_tokens_max: 50,
        expected_tokens: None,
    }
}

/// Returns the mean time of a decision in nanoseconds.
fn measure(service: &str, has_peers: bool) -> f64 {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let mut balancer = balancer(has_peers);
    let works: Vec<steer::Work> = (0..64)
        .map(|_| match service {
            "plain" => steer::Work::default(),
            _ => work(&mut rng),
        })
        .collect();
    let objective = steer::Objective {
        urgency: 0.5,
        remaining: ms(5_000),
        target_first: ms(600),
    };
    let scope = steer::Scope {
        team: Some(steer::Scope::team("one")),
        ..steer::Scope::default()
    };
    for work in &works {
        if let steer::Decision::Selected(pick) =
            balancer.pick(ms(1), service, work, objective, scope, &mut rng)
        {
            balancer.start(ms(1), &pick, work);
        }
    }
    let start = Instant::now();
    for index in 0..DECISIONS {
        let work = &works[index as usize % works.len()];
        let decision = balancer.pick(ms(2), service, work, objective, scope, &mut rng);
        hint::black_box(&decision);
    }
    start.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn main() {
    for (service, has_peers) in [
        ("weighed", true),
        ("weighed", false),
        ("fixed", true),
        ("fixed", false),
        ("plain", true),
    ] {
        let times = (0..REPEATS).map(|_| measure(service, has_peers));
        let fastest = times.fold(f64::INFINITY, f64::min);
        println!("{service:<8} peers={has_peers:<5} {fastest:>9.0} ns");
    }
}
