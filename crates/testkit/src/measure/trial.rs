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

/// Time after the longest deadline at which a caller cancels its request.
const TIMEOUT_MARGIN: time::Duration = time::Duration::from_secs(5);

/// Options of a trial.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployment that is simulated.
    pub shape: Shape,
    /// Routing between callers and endpoints.
    pub policy: Policy,
    /// Number of router hosts; 0 counts as 1, and [`Policy::Direct`] ignores it.
    pub hosts: usize,
    /// Demand and faults during the run.
    pub scenario: Scenario,
    /// Time during which requests arrive.
    pub span: time::Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Runs one seed of a scenario and returns its figures.
///
/// [`Scenario::Stragglers`] is followed by a run of the same arrivals without stragglers.
///
/// # Errors
///
/// Returns an error if an endpoint or a host cannot be started.
pub async fn trial(options: &Options) -> anyhow::Result<Table> {
    let mut table = run_scenario(options).await?;
    if options.scenario == Scenario::Stragglers {
        let mut without_stragglers = options.clone();
        for length in &mut without_stragglers.shape.engine.lengths {
            length.straggler_share = 0.0;
        }
        // Both runs have the same request rate, which depends on the lengths with stragglers.
        let flows = options.shape.flows(options.scenario, options.span);
        let without = run(&without_stragglers, &flows).await?;
        table.extend("without_stragglers.", "short_wait", &without);
    }
    Ok(table)
}

async fn run_scenario(options: &Options) -> anyhow::Result<Table> {
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
    let tag_prefix = format!("{}-{}", options.policy.name(), options.seed);
    let key = shape.teams[0].key();
    let probed = hosts.as_ref().map(|hosts| hosts.address(0));
    overhead(&cluster, probed, &key, &tag_prefix, &mut table).await;
    let arrivals = load::plan(flows, options.span, options.seed);
    let deadlines = shape.classes.iter().map(|class| class.deadline);
    let load_options = load::Options {
        run: tag_prefix,
        lengths: shape.engine.lengths.clone(),
        engine_seed: shape.engine.seed,
        timeout: deadlines.max().unwrap_or_default() + TIMEOUT_MARGIN,
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
    let (samples, (), after) = tokio::join!(load, apply_slowdowns(&cluster, &slowdowns), tokens);
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

/// Applies the planned slowdowns to the engines.
async fn apply_slowdowns(cluster: &Cluster, slowdowns: &[Slowdown]) {
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
