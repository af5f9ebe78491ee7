//! Measures resource usage and latency of router hosts.

use core::time;
use std::net;

use clap::Parser as _;
use testkit::capacity;

/// Measures resource usage and latency of router hosts.
#[derive(Debug, clap::Parser)]
enum Arguments {
    /// Control traffic, processor time and memory of several hosts.
    Fleet {
        /// Number of hosts.
        #[arg(long, default_value_t = 3)]
        hosts: usize,
        /// Number of hosts that own idempotency keys.
        #[arg(long, default_value_t = 0)]
        owners: usize,
        /// Total requests per second to all hosts.
        #[arg(long, default_value_t = 0)]
        rate: u32,
        /// Duration of the measurement in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u32,
    },
    /// Time until a configuration change is in force on all hosts.
    Change {
        /// Number of hosts.
        #[arg(long, default_value_t = 12)]
        hosts: usize,
        /// Number of changes.
        #[arg(long, default_value_t = 8)]
        changes: u64,
    },
    /// Endpoints that stream tokens; prints their addresses.
    Source {
        /// Number of endpoints.
        #[arg(long, default_value_t = 1)]
        count: usize,
        /// Tokens per answer.
        #[arg(long)]
        tokens: u32,
        /// Milliseconds between tokens; 0 to send as fast as the receiver reads.
        #[arg(long, default_value_t = 0)]
        gap: u64,
        /// Seconds until the end.
        #[arg(long, default_value_t = 40)]
        seconds: u64,
    },
    /// Single host; prints its address, then memory and processor time every second.
    Host {
        /// Addresses of the endpoints, separated by commas.
        #[arg(long, value_delimiter = ',')]
        sources: Vec<net::SocketAddr>,
        /// Uses first-come, first-served queues without adaptive limits.
        #[arg(long)]
        baseline: bool,
        /// Retains the data for resuming an interrupted stream on another endpoint.
        #[arg(long)]
        resume: bool,
        /// Number of worker threads.
        #[arg(long, default_value_t = 2)]
        threads: usize,
        /// Seconds until the end.
        #[arg(long, default_value_t = 40)]
        seconds: u32,
    },
    /// Callers with concurrent streams; prints their counts every second.
    Streams {
        /// Addresses to call in turn, separated by commas.
        #[arg(long, value_delimiter = ',')]
        to: Vec<net::SocketAddr>,
        /// Number of streams.
        #[arg(long)]
        count: usize,
        /// Seconds until the end.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Time to the first event, alternating between a host and the endpoint itself.
    Probe {
        /// Address of the host.
        #[arg(long)]
        to: net::SocketAddr,
        /// Address of the endpoint.
        #[arg(long)]
        direct: net::SocketAddr,
        /// Number of requests to each address.
        #[arg(long, default_value_t = 1000)]
        count: usize,
    },
}

/// Number of streams opened between pauses, so that no accept queue overflows.
const OPEN_BATCH: usize = 50;
/// Pause between groups of new streams.
const OPEN_PAUSE: time::Duration = time::Duration::from_millis(10);

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let threads = match arguments {
        Arguments::Host { threads, .. } => threads,
        _ => 4,
    };
    let load = runtime("stand-in", 2)?;
    let router = runtime(capacity::fleet::ROUTER_THREAD, threads)?;
    router.block_on(run(arguments, load.handle()))?;
    load.shutdown_background();
    router.shutdown_background();
    Ok(())
}

fn runtime(name: &str, threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}

async fn run(arguments: Arguments, load: &tokio::runtime::Handle) -> anyhow::Result<()> {
    match arguments {
        Arguments::Fleet {
            hosts,
            owners,
            rate,
            seconds,
        } => {
            let options = capacity::fleet::Options {
                hosts,
                owners,
                rate,
                seconds,
            };
            capacity::fleet::measure(options, load).await
        }
        Arguments::Change { hosts, changes } => capacity::change::measure(hosts, changes).await,
        Arguments::Source {
            count,
            tokens,
            gap,
            seconds,
        } => {
            let gap = time::Duration::from_millis(gap);
            let source = capacity::Source::start(count, tokens, gap).await?;
            let addresses: Vec<_> = source.addresses().iter().map(ToString::to_string).collect();
            println!("{}", addresses.join(","));
            tokio::time::sleep(time::Duration::from_secs(seconds)).await;
            Ok(())
        }
        Arguments::Host {
            sources,
            baseline,
            resume,
            seconds,
            ..
        } => {
            let policy = if baseline {
                host::Policy::Baseline
            } else {
                host::Policy::Current
            };
            let router = capacity::start_router(&sources, policy, resume).await?;
            println!("{}", router.address());
            router.print(seconds).await;
            Ok(())
        }
        Arguments::Streams { to, count, seconds } => {
            streams(&to, count, seconds).await;
            Ok(())
        }
        Arguments::Probe { to, direct, count } => {
            probe(to, direct, count).await;
            Ok(())
        }
    }
}

async fn streams(to: &[net::SocketAddr], count: usize, seconds: u64) {
    let callers = capacity::Callers::default();
    let print = |second: u64, before: capacity::Report| {
        let now = callers.report();
        println!(
            "second {second}: {} events/s, {} begun, {} whole, {} failed",
            now.events - before.events,
            now.begun,
            now.whole,
            now.failed
        );
        now
    };
    for number in 0..count {
        let (callers, to) = (callers.clone(), to[number % to.len()]);
        tokio::spawn(async move { callers.send(to, number).await });
        if number % OPEN_BATCH == OPEN_BATCH - 1 {
            tokio::time::sleep(OPEN_PAUSE).await;
        }
    }
    let mut before = callers.report();
    for second in 1..=seconds {
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        before = print(second, before);
    }
}

/// Caller number of the probes, which gives them a source address that no stream uses.
const PROBE_CALLER: usize = 50_000;

async fn probe(to: net::SocketAddr, direct: net::SocketAddr, count: usize) {
    let callers = capacity::Callers::default();
    let mut routed_times = Vec::new();
    let mut direct_times = Vec::new();
    for _ in 0..count {
        routed_times.extend(callers.probe(to, PROBE_CALLER).await);
        direct_times.extend(callers.probe(direct, PROBE_CALLER).await);
    }
    for (name, times) in [("routed", &mut routed_times), ("direct", &mut direct_times)] {
        times.sort_unstable();
        let at = |share: f64| {
            let index = (times.len() as f64 * share) as usize;
            times.get(index).map_or(0, time::Duration::as_micros)
        };
        println!(
            "{name}: {} answers, p50 {} us, p99 {} us",
            times.len(),
            at(0.5),
            at(0.99)
        );
    }
    println!("failed: {}", callers.report().failed);
}
