use pool::{Baseline, Current, Options, Policy};

use crate::sim::{self, Engine, SECOND, Sim};
use crate::{figures, row, trace};

pub fn binding() {
    println!("late binding: batch 8, 8 endpoints, tier 0 at 20/s and tier 1 at 45/s");
    let names = ["t0 p99 s", "t0 met", "t1 met", "t1 timely"];
    let run = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, slots| {
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
        row(&label, &names, |seed| run(seed, &baseline, slots));
    }
    for slots in [8, 16, 64] {
        let label = format!("current, {slots} slots");
        row(&label, &names, |seed| run(seed, &current, slots));
    }
}

pub fn choice() {
    println!("endpoint choice: batches of 4 and 12, four endpoints each, 35/s");
    let names = ["p99 s", "met", "goodput/s"];
    let run = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, slots: Option<u32>| {
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
        run(seed, &baseline, None)
    });
    row("least load, true slots", &names, |seed| {
        run(seed, &current, None)
    });
    row("round robin, 12 slots for all", &names, |seed| {
        run(seed, &baseline, Some(12))
    });
    row("least load, 12 slots for all", &names, |seed| {
        run(seed, &current, Some(12))
    });
}

pub fn slowness() {
    println!("momentary slowness: 2 of 9 endpoints 8 times slower for 10 s of every 20 s, 30/s");
    let names = ["p99 s", "met", "goodput/s"];
    let run = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, slow: bool| {
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
                run.changes
                    .push((at, index, |engine| engine.slowdown = 8.0));
                run.changes
                    .push((at + 10 * SECOND, index, |engine| engine.slowdown = 1.0));
            }
        }
        let figures = figures(run.run());
        vec![figures.p99[0], figures.met[0], figures.goodput]
    };
    let current = |options: &Options| Box::new(Current::new(options)) as Box<dyn Policy>;
    let baseline = |options: &Options| Box::new(Baseline::new(options)) as Box<dyn Policy>;
    row("round robin", &names, |seed| run(seed, &baseline, true));
    row("weights and ejection", &names, |seed| {
        run(seed, &current, true)
    });
    row("weights and ejection, none slow", &names, |seed| {
        run(seed, &current, false)
    });
}
