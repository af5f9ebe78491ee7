//! Compares ways to divide the endpoint slots of a pool between the hosts.
//!
//! Usage: `cargo run --release -p pool --example division [NAME]`.

use core::time::Duration;

#[expect(dead_code, reason = "the tests use more of it")]
#[path = "../tests/sim/mod.rs"]
mod sim;

#[path = "division/mod.rs"]
mod division;

use division::{Division, Setup, World};
use sim::{MILLISECOND, SECOND};

/// Number of seeds of each experiment; figures are means over them with their range.
const SEEDS: u64 = 5;

const HOSTS: f64 = 12.0;

fn target(class: u16) -> Duration {
    SECOND * (1 << class)
}

fn met(world: &World, class: u16) -> f64 {
    let all = world
        .requests
        .iter()
        .filter(|request| request.class == class);
    let met = all.clone().filter(|request| {
        let first = request.first.map(|first| first - request.at);
        request.outcomes == 1 && first.is_some_and(|first| first <= target(class))
    });
    met.count() as f64 / all.count().max(1) as f64
}

/// Returns the 99th percentile of the time to the first token of tier 0, in seconds.
fn p99(world: &World) -> f64 {
    let all = world.requests.iter().filter(|request| request.class == 0);
    let firsts = all.filter_map(|request| request.first.map(|first| first - request.at));
    let mut times: Vec<_> = firsts.collect();
    times.sort_unstable();
    times[times.len() * 99 / 100].as_secs_f64()
}

/// Returns the share of the requests of a class that waited or were refused while
/// a lower tier was served at another host.
fn inverted(world: &World, class: u16) -> f64 {
    let all = world
        .requests
        .iter()
        .filter(|request| request.class == class);
    let inverted = all.clone().filter(|request| request.is_inverted).count();
    inverted as f64 / all.count().max(1) as f64
}

fn refused(world: &World, class: u16) -> f64 {
    let all = world
        .requests
        .iter()
        .filter(|request| request.class == class);
    let refused = all.clone().filter(|request| request.is_refused).count();
    refused as f64 / all.count().max(1) as f64
}

fn served(world: &World) -> f64 {
    let served = world
        .requests
        .iter()
        .filter(|request| request.first.is_some());
    served.count() as f64 / world.setup.length.as_secs_f64()
}

type Column = (&'static str, fn(&World) -> f64);

const SERVICE: [Column; 7] = [
    ("t0 met", |world| met(world, 0)),
    ("t1 met", |world| met(world, 1)),
    ("t2 met", |world| met(world, 2)),
    ("t0 p99 s", p99),
    ("t0 refused", |world| refused(world, 0)),
    ("t0 inverted", |world| inverted(world, 0)),
    ("served/s", served),
];

const ENDPOINTS: [Column; 3] = [
    ("over batch", |world| {
        world.tally.over as f64 / world.tally.samples as f64
    }),
    ("mean above", |world| {
        world.tally.excess as f64 / world.tally.samples as f64
    }),
    ("most above", |world| f64::from(world.tally.excess_max)),
];

const TRAFFIC: [Column; 5] = [
    ("sent messages/host/s", |world| {
        per_host(world, world.tally.messages)
    }),
    ("sent bytes/host/s", |world| {
        per_host(world, world.tally.bytes)
    }),
    ("home in+out messages/s", |world| {
        per_second(world, world.tally.home_messages)
    }),
    ("home in+out bytes/s", |world| {
        per_second(world, world.tally.home_bytes)
    }),
    ("polls/host/s", |world| per_host(world, world.tally.polls)),
];

const PARTITION: [Column; 5] = [
    ("t0 met", |world| met(world, 0)),
    ("t0 p99 s", p99),
    ("over batch in split", |world| {
        world.tally.partition_over as f64 / world.tally.partition_samples as f64
    }),
    ("mean above", |world| {
        world.tally.partition_excess as f64 / world.tally.partition_samples as f64
    }),
    ("most above", |world| {
        f64::from(world.tally.partition_excess_max)
    }),
];

const POWER_LOSS: [Column; 5] = [
    ("t0 met", |world| met(world, 0)),
    ("t0 p99 s", p99),
    ("next home grants after s", |world| {
        let power_loss = world.setup.power_loss.unwrap_or_default();
        let next = world.tally.next_grant.unwrap_or_default();
        next.saturating_sub(power_loss).as_secs_f64()
    }),
    ("t0 first s, worst in 10 s", |world| {
        let power_loss = world.setup.power_loss.unwrap_or_default();
        let near = power_loss.saturating_sub(SECOND)..power_loss + 10 * SECOND;
        let all = world.requests.iter().filter(|request| request.class == 0);
        let all = all.filter(|request| near.contains(&request.at));
        let firsts = all.filter_map(|request| request.first.map(|first| first - request.at));
        firsts.max().unwrap_or_default().as_secs_f64()
    }),
    ("most above", |world| f64::from(world.tally.excess_max)),
];

fn per_host(world: &World, count: u64) -> f64 {
    per_second(world, count) / HOSTS
}

fn per_second(world: &World, count: u64) -> f64 {
    count as f64 / world.setup.length.as_secs_f64()
}

/// Runs a setup with each seed and prints the mean and the range of each column.
fn row(label: &str, columns: &[Column], setup: impl Fn(u64) -> Setup) {
    let runs: Vec<_> = (1..=SEEDS)
        .map(|seed| World::new(setup(seed)).run())
        .collect();
    println!("  {label}");
    for (name, figure) in columns {
        let values: Vec<_> = runs.iter().map(figure).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(0.0, f64::max);
        println!("    {name:<26} {mean:>10.3} ({least:.3} to {most:.3})");
    }
    let open = runs.iter().flat_map(|run| &run.requests);
    let open = open.filter(|request| request.outcomes != 1).count();
    let beyond = runs.iter().map(|run| run.tally.beyond_bound).max();
    println!("    requests without exactly one outcome {open}, starts beyond the bound {beyond:?}");
}

/// Label, way to divide, and lag of the load reports.
const WAYS: [(&str, Division, Duration); 5] = [
    (
        "alone, lag 0.5 s",
        Division::Alone,
        Duration::from_millis(500),
    ),
    ("alone, lag 2 s", Division::Alone, Duration::from_secs(2)),
    (
        "home, lag 0.5 s",
        Division::Home,
        Duration::from_millis(500),
    ),
    ("home, lag 2 s", Division::Home, Duration::from_secs(2)),
    ("leases", Division::Lease, Duration::from_millis(500)),
];

fn ways(columns: &[Column], change: impl Fn(Setup) -> Setup) {
    for (label, division, lag) in WAYS {
        row(label, columns, |seed| {
            change(Setup {
                report_lag: lag,
                ..Setup::new(division, seed)
            })
        });
    }
}

fn service() -> Vec<Column> {
    SERVICE.into_iter().chain(ENDPOINTS).collect()
}

fn overload() {
    println!(
        "overload: 40, 60 and 60 requests/s of tiers 0, 1 and 2, 16 engines with a batch of 8"
    );
    ways(&service(), |setup| setup);
}

fn floorless() {
    println!("overload without floors");
    ways(&service(), |setup| Setup {
        floor: 0.0,
        ..setup
    });
}

fn skewed() {
    println!("overload, three hosts of twelve get 75% of tier 0 first");
    ways(&service(), |setup| Setup {
        is_skewed: true,
        ..setup
    });
}

fn light() {
    println!("light load: 15, 25 and 25 requests/s");
    ways(&service(), |setup| Setup {
        rates: [15.0, 25.0, 25.0],
        ..setup
    });
}

fn few_places() {
    println!("overload of 2 engines: 5, 7.5 and 7.5 requests/s, 1.3 places per host");
    ways(&service(), |setup| Setup {
        engines: 2,
        rates: [5.0, 7.5, 7.5],
        ..setup
    });
}

fn loss() {
    println!("overload, 1% of the messages are sent again after 200 ms");
    ways(&service(), |setup| Setup {
        loss: 0.01,
        ..setup
    });
}

fn traffic() {
    println!("traffic in the overload");
    ways(&TRAFFIC, |setup| setup);
}

fn partition() {
    println!("overload, two halves from 20 s to 30 s");
    ways(&PARTITION, |setup| Setup {
        partition: Some((20 * SECOND, 30 * SECOND)),
        ..setup
    });
    row("home, lag 0.5 s, careful", &PARTITION, |seed| Setup {
        partition: Some((20 * SECOND, 30 * SECOND)),
        is_careful: true,
        ..Setup::new(Division::Home, seed)
    });
    row("home, lag 0.5 s, no reports", &PARTITION, |seed| Setup {
        partition: Some((20 * SECOND, 30 * SECOND)),
        has_reports: false,
        ..Setup::new(Division::Home, seed)
    });
}

fn power_loss() {
    println!("overload, the first home loses power at 20 s");
    ways(&POWER_LOSS, |setup| Setup {
        power_loss: Some(20_003 * MILLISECOND),
        ..setup
    });
    row("home, lag 0.5 s, careful", &POWER_LOSS, |seed| Setup {
        power_loss: Some(20_003 * MILLISECOND),
        is_careful: true,
        ..Setup::new(Division::Home, seed)
    });
}

fn main() {
    let wanted = std::env::args().nth(1);
    let parts: [(&str, fn()); 9] = [
        ("overload", overload),
        ("floorless", floorless),
        ("skewed", skewed),
        ("light", light),
        ("few_places", few_places),
        ("loss", loss),
        ("traffic", traffic),
        ("split", partition),
        ("death", power_loss),
    ];
    for (name, part) in parts {
        if wanted.as_deref().is_none_or(|wanted| wanted == name) {
            part();
        }
    }
}
