use pool::{Baseline, Current, Options, Policy};
use rand::RngExt;

use crate::sim::{self, Engine, Request, SECOND, Sim};
use crate::{figures, rng, row, trace};

pub fn retries() {
    println!("retries: up to 5 per request; all endpoints down, or one of 8 down from 10 to 20 s");
    let names = ["amplification", "served", "timely"];
    let run = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, all: bool, retries| {
        let options = Options {
            seed,
            ..sim::options(1)
        };
        let mut load = trace(seed, &[30.0], 10);
        load.iter_mut()
            .for_each(|request| request.retries_max = retries);
        let mut run = Sim::new(policy(&options), vec![Engine::new(8, 8); 8], load, seed);
        if all {
            run.engines
                .iter_mut()
                .for_each(|engine| engine.is_down = true);
        } else {
            run.changes
                .push((10 * SECOND, 0, |engine| engine.is_down = true));
            run.changes
                .push((20 * SECOND, 0, |engine| engine.is_down = false));
        }
        let figures = figures(run.run());
        vec![figures.amplification, figures.served[0], figures.timely[0]]
    };
    let current = |options: &Options| Box::new(Current::new(options)) as Box<dyn Policy>;
    let baseline = |options: &Options| Box::new(Baseline::new(options)) as Box<dyn Policy>;
    for (label, all) in [("all down", true), ("one down", false)] {
        row(&format!("{label}, baseline, 5 retries"), &names, |seed| {
            run(seed, &baseline, all, 5)
        });
        row(&format!("{label}, current, no retry"), &names, |seed| {
            run(seed, &current, all, 0)
        });
        row(&format!("{label}, current, 5 retries"), &names, |seed| {
            run(seed, &current, all, 5)
        });
    }
}

pub fn admission() {
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
                request.timeout = allowed * SECOND;
                trace.push(request);
            }
        }
        trace
    };
    for allowed in [4, 8, 20] {
        let run = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>| {
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
            run(seed, &baseline)
        });
        row(&format!("current, deadline {allowed} s"), &names, |seed| {
            run(seed, &current)
        });
    }
}
