//! Prints figures on the effect of each mechanism of the policy, from seeded
//! simulations.
//!
//! Usage: `cargo run --release -p pool --example figures [NAME]`.

use core::time::Duration;

use pool::Policy;
use rand::{RngExt, SeedableRng};

#[expect(dead_code, reason = "the tests use more of it")]
#[path = "../../tests/sim/mod.rs"]
mod sim;

mod admission;
mod endpoints;
mod lengths;
mod order;

use sim::{Engine, Record, Request, SECOND, Sim, Status};

/// Number of seeds of each experiment; printed figures are means over them.
const SEEDS: u64 = 5;

fn rng(seed: u64) -> rand_pcg::Pcg64Mcg {
    rand_pcg::Pcg64Mcg::seed_from_u64(seed)
}

/// Prints a label and the means of the figures that `run` returns over the seeds.
fn row(label: &str, names: &[&str], run: impl Fn(u64) -> Vec<f64>) {
    let runs: Vec<_> = (1..=SEEDS).map(run).collect();
    let mut text = format!("  {label:<34}");
    for (index, name) in names.iter().enumerate() {
        let sum: f64 = runs.iter().map(|run| run[index]).sum();
        text += &format!(" {name} {:.3}", sum / SEEDS as f64);
    }
    println!("{text}");
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

fn late(record: &Record) -> bool {
    record.status == Status::Complete && !record.is_timely
}

fn within(target: Duration) -> impl Fn(&Record) -> bool {
    move |record| record.is_timely && record.first.is_some_and(|first| first <= target)
}

fn trace(seed: u64, rates: &[f64], within: u64) -> Vec<Request> {
    let mut rng = rng(seed);
    let mut trace = Vec::new();
    for (class, &rate) in rates.iter().enumerate() {
        for at in sim::arrivals(&mut rng, rate, 60 * SECOND) {
            let mut request = Request::new(at, class as u16, rng.random_range(10..90));
            request.team = rng.random_range(0..40);
            request.timeout = within as u32 * SECOND;
            trace.push(request);
        }
    }
    trace
}

/// Figures of a simulation, by class unless stated otherwise.
struct Outcome {
    met: Vec<f64>,
    served: Vec<f64>,
    timely: Vec<f64>,
    late: Vec<f64>,
    p99: Vec<f64>,
    gap: Vec<f64>,
    /// Requests of all classes that completed in time, per second of the trace.
    goodput: f64,
    /// Median and 99th percentile of the time from arrival to refusal, in seconds.
    refused: [f64; 2],
    /// Grants per first attempt.
    amplification: f64,
}

fn outcome<P: Policy>(policy: P, trace: Vec<Request>, seed: u64) -> Outcome {
    let engines = vec![Engine::new(8, 8); 8];
    figures(Sim::new(policy, engines, trace, seed).run())
}

fn figures<P: Policy>(run: Sim<P>) -> Outcome {
    let classes = 0..4_u16;
    let target = |class: u16| SECOND * (1 << class);
    let share = |wanted: &dyn Fn(&Record) -> bool| {
        let shares = classes.clone().map(|class| run.share(class, wanted));
        shares.collect::<Vec<_>>()
    };
    let mut refused: Vec<_> = (run.records.iter())
        .filter(|record| matches!(record.status, Status::Refused(_)))
        .map(|record| seconds(record.end))
        .collect();
    refused.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let index = (refused.len() as f64 * share) as usize;
        refused.get(index).copied().unwrap_or(0.0)
    };
    let length = run.trace.iter().map(|request| request.at).max();
    let timely = run.records.iter().filter(|record| record.is_timely).count();
    Outcome {
        met: (classes.clone())
            .map(|class| run.share(class, within(target(class))))
            .collect(),
        served: share(&|record| record.status == Status::Complete),
        timely: share(&|record| record.is_timely),
        late: share(&late),
        p99: classes
            .clone()
            .map(|class| seconds(run.first_token_quantile(class, 0.99)))
            .collect(),
        gap: run.grant_gaps.iter().copied().map(seconds).collect(),
        goodput: timely as f64 / seconds(length.unwrap_or(SECOND)),
        refused: [quantile(0.5), quantile(0.99)],
        amplification: run.grants as f64 / run.first_attempts.max(1) as f64,
    }
}

fn main() {
    let wanted = std::env::args().nth(1);
    let parts: [(&str, fn()); 9] = [
        ("order", order::order),
        ("shares", order::shares),
        ("lengths", lengths::lengths),
        ("only_long", lengths::only_long),
        ("binding", endpoints::binding),
        ("choice", endpoints::choice),
        ("slowness", endpoints::slowness),
        ("retries", admission::retries),
        ("admission", admission::admission),
    ];
    for (name, part) in parts {
        if wanted.as_deref().is_none_or(|wanted| wanted == name) {
            part();
        }
    }
}
