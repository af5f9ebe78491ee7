//! Measures the router against stand-in endpoints under a seeded load.

use core::ops;
use core::time;

use clap::Parser as _;
use testkit::measure;

/// Deployment that is measured in small.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Shape {
    Kalahari,
    GanciAlpini,
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
    /// Deployment.
    #[arg(long, value_enum, default_value = "kalahari")]
    shape: Shape,
    /// What happens during a run.
    #[arg(long, value_enum, default_value = "crest")]
    scenario: measure::Scenario,
    /// Calls the endpoints without a router.
    #[arg(long)]
    direct: bool,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1, conflicts_with = "seeds")]
    seed: u64,
    /// Seeds from first to last, both included, such as 1..5.
    #[arg(long, value_parser = seeds)]
    seeds: Option<ops::RangeInclusive<u64>>,
    /// Router hosts.
    #[arg(long, default_value_t = 3)]
    hosts: usize,
    /// Time during which requests arrive, in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Format of the output.
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
}

fn seeds(text: &str) -> Result<ops::RangeInclusive<u64>, String> {
    let parsed = text.split_once("..").and_then(|(first, last)| {
        let last = last.trim_start_matches('=');
        Some(first.parse().ok()?..=last.parse().ok()?)
    });
    parsed.ok_or_else(|| "expected FIRST..LAST, such as 1..5".into())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let shape = match arguments.shape {
        Shape::Kalahari => measure::Shape::kalahari(),
        Shape::GanciAlpini => measure::Shape::ganci_alpini(),
    };
    let seeds = arguments.seeds.unwrap_or(arguments.seed..=arguments.seed);
    let mut summaries = Vec::new();
    for policy in [measure::Policy::Direct] {
        let mut tables = Vec::new();
        for seed in seeds.clone() {
            let options = measure::Options {
                shape: shape.clone(),
                policy,
                hosts: arguments.hosts,
                scenario: arguments.scenario,
                span: time::Duration::try_from_secs_f64(arguments.seconds)?,
                seed,
            };
            tables.push(measure::trial(&options).await?);
        }
        summaries.push(measure::Summary {
            policy: policy.name(),
            seeds: tables,
        });
    }
    println!("{}", serde_json::to_string_pretty(&summaries)?);
    Ok(())
}
