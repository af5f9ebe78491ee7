use pool::{Baseline, Current, Options};
use rand::RngExt;

use crate::sim::{self, Request, SECOND};
use crate::{Outcome, outcome, rng, row, trace};

pub fn order() {
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

pub fn shares() {
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
                request.timeout = 10 * SECOND;
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
