use pool::{Baseline, Current, Options, Policy};
use rand::RngExt;

use crate::sim::{self, Engine, Request, SECOND, Sim};
use crate::{figures, rng, row};

pub fn lengths() {
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
            request.timeout = 300 * SECOND;
            trace.push(request);
        }
        trace
    };
    let run = |seed, policy: &dyn Fn(&Options) -> Box<dyn Policy>, stragglers, share, long| {
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
        run(seed, &baseline, true, 0.5, 100)
    });
    row("share 0.5, no stragglers", &names, |seed| {
        run(seed, &current, false, 0.5, 100)
    });
    for share in [1.0, 0.75, 0.5, 0.25] {
        let label = format!("share {share}, long from 100 tokens");
        row(&label, &names, |seed| run(seed, &current, true, share, 100));
    }
    row("share 0.5, long from 1,000 tokens", &names, |seed| {
        run(seed, &current, true, 0.5, 1_000)
    });
}

pub fn only_long() {
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
