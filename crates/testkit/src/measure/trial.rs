use core::time;

use crate::load;
use crate::measure::cluster::Cluster;
use crate::measure::figures::Figures;
use crate::measure::hosts::Hosts;
use crate::measure::overhead::overhead;
use crate::measure::policy::Policy;
use crate::measure::scenario::Scenario;
use crate::measure::shape::Shape;
use crate::measure::slowdown::Slowdown;
use crate::measure::table::Table;
use crate::measure::tokens::Tokens;

/// Time after its deadline at which a caller gives up.
const PATIENCE: time::Duration = time::Duration::from_secs(5);

/// What a trial runs.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployment.
    pub shape: Shape,
    /// What stands between callers and endpoints.
    pub policy: Policy,
    /// Number of router hosts.
    pub hosts: usize,
    /// What happens.
    pub scenario: Scenario,
    /// Time during which requests arrive.
    pub span: time::Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Runs one seed of a scenario and returns its figures.
///
/// The scenario with stragglers runs the same arrivals without them first.
///
/// # Errors
///
/// Returns an error if an endpoint or a host cannot be started.
pub async fn trial(options: &Options) -> anyhow::Result<Table> {
    let mut table = once(options).await?;
    if options.scenario == Scenario::Stragglers {
        let mut calm = options.clone();
        for length in &mut calm.shape.engine.lengths {
            length.straggler_share = 0.0;
        }
        // The rate stays that of the run with stragglers.
        let flows = options.shape.flows(options.scenario, options.span);
        let without = run(&calm, &flows).await?;
        table.extend("without_stragglers.", "short_wait", &without);
    }
    Ok(table)
}

async fn once(options: &Options) -> anyhow::Result<Table> {
    let flows = options.shape.flows(options.scenario, options.span);
    run(options, &flows).await
}

async fn run(options: &Options, flows: &[load::Flow]) -> anyhow::Result<Table> {
    let shape = &options.shape;
    let cluster = Cluster::start(shape)?;
    let hosts = match options.policy.host_policy() {
        Some(choice) => Some(Hosts::start(shape, &cluster, options.hosts, choice).await?),
        None => None,
    };
    let mut table = Table::default();
    let word = format!("{}-{}", options.policy.name(), options.seed);
    let key = shape.teams[0].key();
    let probed = hosts.as_ref().map(|hosts| hosts.address(0));
    overhead(&cluster, probed, &key, &word, &mut table).await;
    let arrivals = load::plan(flows, options.span, options.seed);
    let deadlines = shape.classes.iter().map(|class| class.deadline);
    let load_options = load::Options {
        run: word,
        lengths: shape.engine.lengths.clone(),
        engine_seed: shape.engine.seed,
        timeout: deadlines.max().unwrap_or_default() + PATIENCE,
    };
    let slowdowns = match options.scenario {
        Scenario::SlowEndpoint => Slowdown::plan(shape.engines, options.span, options.seed),
        _ => Vec::new(),
    };
    let before = Tokens::sum(&cluster.engines);
    let end = tokio::time::Instant::now() + options.span;
    let load = load::run(flows, &arrivals, &load_options, |flow, arrival, number| {
        let caller = arrival.flow + arrival.caller as usize;
        let host = hosts.as_ref().map(|hosts| hosts.address(caller));
        host.unwrap_or_else(|| cluster.direct(flow, number))
    });
    let tokens = async {
        tokio::time::sleep_until(end).await;
        Tokens::sum(&cluster.engines)
    };
    let (samples, (), after) = tokio::join!(load, slow(&cluster, &slowdowns), tokens);
    let figures = Figures {
        shape,
        flows,
        samples: &samples,
        slowdowns: &slowdowns,
        span: options.span,
        tokens: after.since(before),
    };
    figures.add(&cluster, &mut table);
    if let Some(hosts) = hosts {
        hosts.shutdown().await;
    }
    Ok(table)
}

/// Slows engines down as planned.
async fn slow(cluster: &Cluster, slowdowns: &[Slowdown]) {
    let start = tokio::time::Instant::now();
    for slowdown in slowdowns {
        for (moment, factor) in [(slowdown.from, slowdown.factor), (slowdown.until, 1.0)] {
            tokio::time::sleep_until(start + moment).await;
            for &engine in &slowdown.engines {
                cluster.engines[engine].set_slowdown(factor);
            }
        }
    }
}
