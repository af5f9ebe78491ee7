//! Prints the figures of the decision notes from seeded runs.
//!
//! Usage: `cargo run --release -p pool --example figures [NAME]`.

use core::time::Duration;

use pool::{Baseline, Current, Options, Policy};
use rand::{RngExt, SeedableRng};

#[expect(dead_code, reason = "the tests use more of it")]
#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{Engine, Fate, Line, Request, SECOND, Sim};

/// Seeds of each experiment; figures are means over them.
const SEEDS: u64 = 5;

fn rng(seed: u64) -> rand_pcg::Pcg64Mcg {
    rand_pcg::Pcg64Mcg::seed_from_u64(seed)
}

/// Prints one row: a label and the means of some figures over the seeds.
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

fn late(line: &Line) -> bool {
    line.fate == Fate::Complete && !line.timely
}

fn within(target: Duration) -> impl Fn(&Line) -> bool {
    move |line| line.timely && line.first.is_some_and(|first| first <= target)
}

fn trace(seed: u64, rates: &[f64], within: u64) -> Vec<Request> {
    let mut rng = rng(seed);
    let mut trace = Vec::new();
    for (class, &rate) in rates.iter().enumerate() {
        for at in sim::arrivals(&mut rng, rate, 60 * SECOND) {
            let mut request = Request::new(at, class as u16, rng.random_range(10..90));
            request.team = rng.random_range(0..40);
            request.within = within as u32 * SECOND;
            trace.push(request);
        }
    }
    trace
}

fn order() {
    println!("order of service: four tiers, 64 places, tier 0 alone above capacity");
    let names = ["t0 met", "t3 served", "t3 longest gap s", "goodput/s"];
    let load = |seed| trace(seed, &[70.0, 20.0, 20.0, 20.0], 20);
    let measure = |outcome: Outcome| {
        let (met, served, gap) = (outcome.met[0], outcome.served[3], outcome.gap[3]);
        vec![met, served, gap, outcome.goodput]
    };
    let options = |seed, floor, window: u32| {
        let mut options = sim::options(4);
        options.queue_max = 400;
        options.seed = seed;
        for class in &mut options.classes {
            class.floor = floor;
            class.starvation_window = window * SECOND;
        }
        options
    };
    row("first come first served", &names, |seed| {
        let policy = Baseline::new(&options(seed, 0.0, 1));
        measure(outcome(policy, load(seed), seed))
    });
    for (label, floor, window) in [
        ("strict tiers, no floor", 0.0, 3_600),
        ("floor 0.05, window 2 s", 0.05, 2),
        ("floor 0.05, window 10 s", 0.05, 10),
        ("floor 0.20, window 2 s", 0.2, 2),
    ] {
        row(label, &names, |seed| {
            let policy = Current::new(&options(seed, floor, window));
            measure(outcome(policy, load(seed), seed))
        });
    }
}

fn shares() {
    println!("one team sends ten times its share: 10 teams, 64 places, one tier");
    let names = ["others timely", "heavy team timely"];
    let load = |seed| {
        let mut rng = rng(seed);
        let mut trace = Vec::new();
        for team in 0..10 {
            let rate = if team == 0 { 50.0 } else { 4.0 };
            for at in sim::arrivals(&mut rng, rate, 60 * SECOND) {
                let mut request = Request::new(at, u16::from(team == 0), rng.random_range(30..70));
                request.team = team;
                request.within = 10 * SECOND;
                trace.push(request);
            }
        }
        trace
    };
    let options = |seed| {
        let mut options = sim::options(2);
        options.classes[1].tier = 0;
        Options { seed, ..options }
    };
    let measure = |outcome: Outcome| vec![outcome.timely[0], outcome.timely[1]];
    row("first come first served", &names, |seed| {
        measure(outcome(Baseline::new(&options(seed)), load(seed), seed))
    });
    row("weighted fair queueing", &names, |seed| {
        measure(outcome(Current::new(&options(seed)), load(seed), seed))
    });
}

/// Figures of a run, per class.
struct Outcome {
    met: Vec<f64>,
    served: Vec<f64>,
    timely: Vec<f64>,
    late: Vec<f64>,
    p99: Vec<f64>,
    gap: Vec<f64>,
    /// Requests that completed in time, per second of the trace.
    goodput: f64,
    /// Quantiles of the time from arrival to refusal.
    refused: [f64; 2],
    amplification: f64,
}

fn outcome<P: Policy>(policy: P, trace: Vec<Request>, seed: u64) -> Outcome {
    let engines = vec![Engine::new(8, 8); 8];
    figures(Sim::new(policy, engines, trace, seed).run())
}

fn figures<P: Policy>(run: Sim<P>) -> Outcome {
    let classes = 0..4_u16;
    let target = |class: u16| SECOND * (1 << class);
    let share = |wanted: &dyn Fn(&Line) -> bool| {
        let shares = classes.clone().map(|class| run.share(class, wanted));
        shares.collect::<Vec<_>>()
    };
    let mut refused: Vec<_> = (run.lines.iter())
        .filter(|line| matches!(line.fate, Fate::Refused(_)))
        .map(|line| seconds(line.end))
        .collect();
    refused.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let index = (refused.len() as f64 * share) as usize;
        refused.get(index).copied().unwrap_or(0.0)
    };
    let length = run.trace.iter().map(|request| request.at).max();
    let timely = run.lines.iter().filter(|line| line.timely).count();
    Outcome {
        met: (classes.clone())
            .map(|class| run.share(class, within(target(class))))
            .collect(),
        served: share(&|line| line.fate == Fate::Complete),
        timely: share(&|line| line.timely),
        late: share(&late),
        p99: classes
            .clone()
            .map(|class| seconds(run.first(class, 0.99)))
            .collect(),
        gap: run.gaps.iter().copied().map(seconds).collect(),
        goodput: timely as f64 / seconds(length.unwrap_or(SECOND)),
        refused: [quantile(0.5), quantile(0.99)],
        amplification: run.grants as f64 / run.fresh.max(1) as f64,
    }
}

fn lengths() {
    println!("unknown lengths: 20/s short, 2/s plate checks, one in ten 20 times longer");
    let names = ["short p99 s", "short met", "plates timely"];
    let load = |seed, stragglers: bool| {
        let mut rng = rng(seed);
        let mut trace = Vec::new();
        for at in sim::arrivals(&mut rng, 20.0, 120 * SECOND) {
            trace.push(Request::new(at, 0, rng.random_range(10..30)));
        }
        for at in sim::arrivals(&mut rng, 2.0, 120 * SECOND) {
            let mut output = rng.random_range(200..400);
            if rng.random_bool(0.1) && stragglers {
                output *= 20;
            }
            let mut request = Request::new(at, 1, output);
            request.team = 2;
            request.within = 300 * SECOND;
            trace.push(request);
        }
        trace
    };
    let go = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, stragglers, share, long| {
        let mut options = sim::options(2);
        options.classes[1].tier = 0;
        options.long_tokens = long;
        options.long_share = share;
        options.seed = seed;
        let engines = vec![Engine::new(8, 8); 6];
        let run = Sim::new(policy(&options), engines, load(seed, stragglers), seed).run();
        let figures = figures(run);
        vec![figures.p99[0], figures.met[0], figures.timely[1]]
    };
    let current = |options: &Options| Box::new(Current::new(options)) as Box<dyn Policy>;
    let baseline = |options: &Options| Box::new(Baseline::new(options)) as Box<dyn Policy>;
    row("first come first served", &names, |seed| {
        go(seed, &baseline, true, 0.5, 100)
    });
    row("share 0.5, no stragglers", &names, |seed| {
        go(seed, &current, false, 0.5, 100)
    });
    for share in [1.0, 0.75, 0.5, 0.25] {
        let label = format!("share {share}, long from 100 tokens");
        row(&label, &names, |seed| go(seed, &current, true, share, 100));
    }
    row("share 0.5, long from 1,000 tokens", &names, |seed| {
        go(seed, &current, true, 0.5, 1_000)
    });
}

fn only_long() {
    println!("only long work: 12/s of 200 to 400 tokens, long from 100 tokens, 48 places");
    let names = ["met", "timely"];
    for share in [0.5, 1.0] {
        row(&format!("share {share}"), &names, |seed| {
            let mut rng = rng(seed);
            let times = sim::arrivals(&mut rng, 12.0, 120 * SECOND);
            let load = times.into_iter().map(|at| {
                let mut request = Request::new(at, 0, rng.random_range(200..400));
                request.team = rng.random_range(0..10);
                request
            });
            let load = load.collect();
            let mut options = Options {
                seed,
                ..sim::options(1)
            };
            options.long_tokens = 100;
            options.long_share = share;
            let engines = vec![Engine::new(8, 8); 6];
            let figures = figures(Sim::new(Current::new(&options), engines, load, seed).run());
            vec![figures.met[0], figures.timely[0]]
        });
    }
}

fn binding() {
    println!("late binding: batch 8, 8 endpoints, tier 0 at 20/s and tier 1 at 45/s");
    let names = ["t0 p99 s", "t0 met", "t1 met", "t1 timely"];
    let go = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, slots| {
        let options = Options {
            seed,
            ..sim::options(2)
        };
        let load = trace(seed, &[20.0, 45.0], 20);
        let engines = vec![Engine::new(slots, 8); 8];
        let figures = figures(Sim::new(policy(&options), engines, load, seed).run());
        let (met, timely) = (&figures.met, figures.timely[1]);
        vec![figures.p99[0], met[0], met[1], timely]
    };
    let current = |options: &Options| Box::new(Current::new(options)) as Box<dyn Policy>;
    let baseline = |options: &Options| Box::new(Baseline::new(options)) as Box<dyn Policy>;
    for slots in [8, 16, 64] {
        let label = format!("baseline, {slots} slots");
        row(&label, &names, |seed| go(seed, &baseline, slots));
    }
    for slots in [8, 16, 64] {
        let label = format!("current, {slots} slots");
        row(&label, &names, |seed| go(seed, &current, slots));
    }
}

fn choice() {
    println!("endpoint choice: batches of 4 and 12, four endpoints each, 35/s");
    let names = ["p99 s", "met", "goodput/s"];
    let go = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, slots: Option<u32>| {
        let options = Options {
            seed,
            ..sim::options(1)
        };
        let engines = (0..8).map(|index| {
            let batch = if index % 2 == 0 { 4 } else { 12 };
            Engine::new(slots.unwrap_or(batch), batch)
        });
        let load = trace(seed, &[35.0], 20);
        let run = Sim::new(policy(&options), engines.collect(), load, seed).run();
        let figures = figures(run);
        vec![figures.p99[0], figures.met[0], figures.goodput]
    };
    let current = |options: &Options| Box::new(Current::new(options)) as Box<dyn Policy>;
    let baseline = |options: &Options| Box::new(Baseline::new(options)) as Box<dyn Policy>;
    row("round robin, true slots", &names, |seed| {
        go(seed, &baseline, None)
    });
    row("least load, true slots", &names, |seed| {
        go(seed, &current, None)
    });
    row("round robin, 12 slots for all", &names, |seed| {
        go(seed, &baseline, Some(12))
    });
    row("least load, 12 slots for all", &names, |seed| {
        go(seed, &current, Some(12))
    });
}

fn slowness() {
    println!("momentary slowness: 2 of 9 endpoints 8 times slower for 10 s of every 20 s, 30/s");
    let names = ["p99 s", "met", "goodput/s"];
    let go = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, slow: bool| {
        let options = Options {
            seed,
            ..sim::options(1)
        };
        let load = trace(seed, &[30.0], 20);
        let engines = vec![Engine::new(8, 8); 9];
        let mut run = Sim::new(policy(&options), engines, load, seed);
        for round in 0..3 {
            if !slow {
                break;
            }
            for index in [round, round + 4] {
                let at = (5 + 20 * round as u32) * SECOND;
                run.changes.push((at, index, |engine| engine.slow = 8.0));
                run.changes
                    .push((at + 10 * SECOND, index, |engine| engine.slow = 1.0));
            }
        }
        let figures = figures(run.run());
        vec![figures.p99[0], figures.met[0], figures.goodput]
    };
    let current = |options: &Options| Box::new(Current::new(options)) as Box<dyn Policy>;
    let baseline = |options: &Options| Box::new(Baseline::new(options)) as Box<dyn Policy>;
    row("round robin", &names, |seed| go(seed, &baseline, true));
    row("weights and ejection", &names, |seed| {
        go(seed, &current, true)
    });
    row("weights and ejection, none slow", &names, |seed| {
        go(seed, &current, false)
    });
}

fn retries() {
    println!("retries: up to 5 per request; all endpoints down, or one of 8 down from 10 to 20 s");
    let names = ["amplification", "served", "timely"];
    let go = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, all: bool, retries| {
        let options = Options {
            seed,
            ..sim::options(1)
        };
        let mut load = trace(seed, &[30.0], 10);
        load.iter_mut()
            .for_each(|request| request.retries = retries);
        let mut run = Sim::new(policy(&options), vec![Engine::new(8, 8); 8], load, seed);
        if all {
            run.engines.iter_mut().for_each(|engine| engine.dead = true);
        } else {
            run.changes
                .push((10 * SECOND, 0, |engine| engine.dead = true));
            run.changes
                .push((20 * SECOND, 0, |engine| engine.dead = false));
        }
        let figures = figures(run.run());
        vec![figures.amplification, figures.served[0], figures.timely[0]]
    };
    let current = |options: &Options| Box::new(Current::new(options)) as Box<dyn Policy>;
    let baseline = |options: &Options| Box::new(Baseline::new(options)) as Box<dyn Policy>;
    for (label, all) in [("all down", true), ("one down", false)] {
        row(&format!("{label}, baseline, 5 retries"), &names, |seed| {
            go(seed, &baseline, all, 5)
        });
        row(&format!("{label}, current, no retry"), &names, |seed| {
            go(seed, &current, all, 0)
        });
        row(&format!("{label}, current, 5 retries"), &names, |seed| {
            go(seed, &current, all, 5)
        });
    }
}

fn admission() {
    println!("admission: half of capacity, four times capacity from 30 to 60 s, half again");
    let names = ["met", "timely", "late", "refused p50 s", "p99 s"];
    let load = |seed, allowed: u32| {
        let mut rng = rng(seed);
        let mut trace = Vec::new();
        for at in sim::arrivals(&mut rng, 200.0, 90 * SECOND) {
            let peak = (30..60).contains(&at.as_secs());
            if peak || rng.random_bool(0.125) {
                let mut request = Request::new(at, 0, rng.random_range(30..70));
                request.team = rng.random_range(0..40);
                request.within = allowed * SECOND;
                trace.push(request);
            }
        }
        trace
    };
    for allowed in [4, 8, 20] {
        let go = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>| {
            let options = Options {
                seed,
                ..sim::options(1)
            };
            let engines = vec![Engine::new(8, 8); 8];
            let run = Sim::new(policy(&options), engines, load(seed, allowed), seed).run();
            let figures = figures(run);
            let [middle, most] = figures.refused;
            let (met, timely, late) = (figures.met[0], figures.timely[0], figures.late[0]);
            vec![met, timely, late, middle, most]
        };
        let current = |options: &Options| Box::new(Current::new(options)) as Box<dyn Policy>;
        let baseline = |options: &Options| Box::new(Baseline::new(options)) as Box<dyn Policy>;
        row(&format!("baseline, deadline {allowed} s"), &names, |seed| {
            go(seed, &baseline)
        });
        row(&format!("current, deadline {allowed} s"), &names, |seed| {
            go(seed, &current)
        });
    }
}

fn main() {
    let wanted = std::env::args().nth(1);
    let parts: [(&str, fn()); 9] = [
        ("order", order),
        ("shares", shares),
        ("lengths", lengths),
        ("only_long", only_long),
        ("binding", binding),
        ("choice", choice),
        ("slowness", slowness),
        ("retries", retries),
        ("admission", admission),
    ];
    for (name, part) in parts {
        if wanted.as_deref().is_none_or(|wanted| wanted == name) {
            part();
        }
    }
}
