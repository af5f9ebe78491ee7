//! Measures the router against stand-in endpoints under a seeded load.

use core::ops;
use core::time;

use clap::Parser as _;
use testkit::measure;

/// Scaled-down deployment that is measured.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Shape {
    Kalahari,
    GanciAlpini,
}

/// Policies that are measured.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Policy {
    Current,
    Baseline,
    Both,
}

/// Format of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
enum Format {
    Text,
    Json,
}

/// Measures the router against stand-in endpoints under a seeded load.
#[derive(Debug, clap::Parser)]
struct Arguments {
    /// Scaled-down deployment.
    #[arg(long, value_enum, default_value = "kalahari")]
    shape: Shape,
    /// Demand and faults during a run.
    #[arg(long, value_enum, default_value = "crest")]
    scenario: measure::Scenario,
    /// Policy of the router hosts.
    #[arg(long, value_enum, default_value = "current")]
    policy: Policy,
    /// Calls the endpoints directly in round-robin order, without a router.
    #[arg(long, conflicts_with = "policy")]
    direct: bool,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1, conflicts_with = "seeds")]
    seed: u64,
    /// Range of seeds, including both ends, such as 1..5.
    #[arg(long, value_parser = parse_seeds)]
    seeds: Option<ops::RangeInclusive<u64>>,
    /// Number of router hosts.
    #[arg(long, default_value_t = 3)]
    hosts: usize,
    /// Time during which requests arrive, in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Format of the output.
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
}

fn parse_seeds(text: &str) -> Result<ops::RangeInclusive<u64>, String> {
    let parsed = text.split_once("..").and_then(|(first, last)| {
        let last = last.trim_start_matches('=');
        Some(first.parse().ok()?..=last.parse().ok()?)
    });
    parsed.ok_or_else(|| "expected FIRST..LAST, such as 1..5".into())
}

/// Figures that must be zero in every run.
const FAULT_FIGURES: [&str; 3] = ["damaged", "doubled_effects", "refused_but_ran"];

const fn policies(arguments: &Arguments) -> &'static [measure::Policy] {
    use measure::Policy::{Baseline, Current, Direct};

    match arguments.policy {
        _ if arguments.direct => &[Direct],
        Policy::Current => &[Current],
        Policy::Baseline => &[Baseline],
        Policy::Both => &[Current, Baseline],
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let shape = match arguments.shape {
        Shape::Kalahari => measure::Shape::kalahari(),
        Shape::GanciAlpini => measure::Shape::ganci_alpini(),
    };
    let single = arguments.seed..=arguments.seed;
    let seeds = arguments.seeds.clone().unwrap_or(single);
    let span = time::Duration::try_from_secs_f64(arguments.seconds)?;
    let policies = policies(&arguments);
    let mut summaries: Vec<_> = policies
        .iter()
        .map(|policy| measure::Summary {
            policy: policy.name(),
            seeds: Vec::new(),
        })
        .collect();
    // Policies alternate for each seed, so that changes of the machine's load affect all of
    // them.
    for seed in seeds {
        for (&policy, summary) in policies.iter().zip(&mut summaries) {
            let options = measure::Options {
                shape: shape.clone(),
                policy,
                hosts: arguments.hosts,
                scenario: arguments.scenario,
                span,
                seed,
            };
            summary.seeds.push(measure::trial(&options).await?);
        }
    }
    print(&arguments, &summaries)?;
    let faults = summaries
        .iter()
        .flat_map(|summary| FAULT_FIGURES.map(|name| summary.row(name)));
    anyhow::ensure!(
        faults.flatten().all(|row| row.most == 0.0),
        "a run had damaged answers, repeated effects or executions of refused requests"
    );
    Ok(())
}

fn print(arguments: &Arguments, summaries: &[measure::Summary]) -> anyhow::Result<()> {
    if arguments.format == Format::Json {
        println!("{:#}", json(arguments, summaries));
        return Ok(());
    }
    let Arguments {
        shape,
        scenario,
        seconds,
        hosts,
        ..
    } = arguments;
    println!("shape {shape:?}, scenario {scenario:?}, {seconds} s of arrivals, {hosts} hosts");
    println!(
        "times and targets are 1/{} of a deployment's",
        measure::SCALE
    );
    if let Some(summary) = summaries.first() {
        let count = summary.seeds.len();
        println!("{count} seeds: median [least..most]; last column: ratio of the medians");
    }
    print!("{:44}", "");
    summaries
        .iter()
        .for_each(|summary| print!("{:>34}", summary.policy));
    println!();
    for name in names(summaries) {
        let rows: Vec<_> = summaries.iter().map(|summary| summary.row(name)).collect();
        print!("{name:44}");
        for row in &rows {
            print!("{:>34}", row.map(format_row).unwrap_or_default());
        }
        if let [Some(first), Some(second)] = rows[..]
            && second.median != 0.0
        {
            print!("{:>9.3}", first.median / second.median);
        }
        println!();
    }
    Ok(())
}

fn json(arguments: &Arguments, summaries: &[measure::Summary]) -> serde_json::Value {
    let medians = |name: &str| {
        let rows = summaries.iter().map(|summary| summary.row(name));
        rows.map(|row| row.map(|row| row.median))
            .collect::<Vec<_>>()
    };
    let ratios = names(summaries).into_iter().filter_map(|name| {
        let [Some(first), Some(second)] = medians(name)[..] else {
            return None;
        };
        (second != 0.0).then(|| (name.to_owned(), (first / second).into()))
    });
    serde_json::json!({
        "shape": format!("{:?}", arguments.shape),
        "scenario": format!("{:?}", arguments.scenario),
        "seconds": arguments.seconds,
        "hosts": arguments.hosts,
        "scale": measure::SCALE,
        "policies": summaries,
        "ratios": ratios.collect::<serde_json::Map<_, _>>(),
    })
}

/// Returns the names of all figures in the order of their first occurrence.
fn names(summaries: &[measure::Summary]) -> Vec<&str> {
    let mut names = Vec::new();
    for name in summaries.iter().flat_map(measure::Summary::names) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names
}

fn format_row(row: measure::Row) -> String {
    if row.least == row.most {
        return format_number(row.median);
    }
    let [median, least, most] = [row.median, row.least, row.most].map(format_number);
    format!("{median} [{least}..{most}]")
}

fn format_number(value: f64) -> String {
    if value.fract() == 0.0 || value.abs() >= 1000.0 {
        format!("{value:.0}")
    } else if value.abs() >= 10.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}
