//! Measurement of the control traffic, processor time and memory of several hosts in one
//! process.

use core::time;
use std::net;

use crate::capacity::callers;
use crate::capacity::process::Process;
use crate::capacity::settings;
use crate::capacity::source;

/// Maximum time until all hosts have discovered each other.
const DISCOVERY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Interval at which a condition is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Name of the runtime threads that run the hosts.
pub const ROUTER_THREAD: &str = "router";
/// Slots of each endpoint.
const SLOTS: usize = 64;
/// Tokens per answer.
const TOKENS: u32 = 8;
/// Counters that are printed as rates.
const RATES: [peer::Count; 7] = [
    peer::Count::DatagramSent,
    peer::Count::DatagramBytesSent,
    peer::Count::DatagramBytesReceived,
    peer::Count::CallReceived,
    peer::Count::LinkBytesSent,
    peer::Count::LinkBytesReceived,
    peer::Count::LinkOpened,
];

/// Options of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of these hosts that own idempotency keys.
    pub owners: usize,
    /// Total rate of requests to all hosts, per second; 0 for none.
    pub rate: u32,
    /// Duration of the measurement in seconds.
    pub seconds: u32,
}

/// Starts `count` hosts and waits until they have discovered each other.
///
/// `further` contains additional settings lines and `platform` the platform addresses.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the hosts have not discovered each
/// other within 30 s.
pub async fn start(
    count: usize,
    further: &str,
    platform: &[net::SocketAddr],
) -> anyhow::Result<Vec<host::Host>> {
    let mut hosts: Vec<host::Host> = Vec::new();
    for number in 0..count {
        let seeds: Vec<_> = hosts.iter().take(3).map(host::Host::peer_addr).collect();
        let options = settings::host_options(number, further, &seeds, platform)?;
        hosts.push(host::Host::start(options).await?);
    }
    let discovered = wait(DISCOVERY_TIMEOUT, || {
        hosts.iter().all(|host| host.live_hosts().len() == count)
    });
    anyhow::ensure!(
        discovered.await.is_some(),
        "the hosts have not discovered each other after {DISCOVERY_TIMEOUT:?}"
    );
    Ok(hosts)
}

/// Polls a condition until it holds. Returns the elapsed time, or `None` if it does not hold
/// within `limit`.
pub async fn wait(
    limit: time::Duration,
    mut condition: impl FnMut() -> bool,
) -> Option<time::Duration> {
    let start = std::time::Instant::now();
    while !condition() {
        if start.elapsed() > limit {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Some(start.elapsed())
}

/// Measures hosts that run on the current runtime and prints the result. Callers and
/// endpoints run on the runtime `load`.
///
/// # Errors
///
/// Returns an error if an endpoint or a host cannot be started or a request fails.
pub async fn measure(options: Options, load: &tokio::runtime::Handle) -> anyhow::Result<()> {
    let sources = load
        .spawn(source::Source::start(
            4,
            TOKENS,
            time::Duration::from_millis(5),
        ))
        .await??;
    let before = Process::resident_bytes();
    let mut further = settings::endpoints(sources.addresses(), SLOTS);
    if options.owners > 0 {
        let names: Vec<_> = (0..options.owners).map(|n| format!("host-{n}")).collect();
        further += &format!("[once]\nowners = {}\nepoch = 1\n", names.join(", "));
    }
    let hosts = start(options.hosts, &further, &[]).await?;
    let callers = callers::Callers::default();
    let addresses: Vec<_> = hosts.iter().map(host::Host::caller_addr).collect();
    let calls = load.spawn(send(callers.clone(), addresses, options));
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let sample = |hosts: &[host::Host]| {
        let total = |count| {
            hosts
                .iter()
                .map(|host| host.transport_count(count))
                .sum::<u64>()
        };
        let times = [ROUTER_THREAD, "peer-"].map(Process::cpu_time);
        (RATES.map(total), times, callers.report().whole)
    };
    let (counts, times, answers) = sample(&hosts);
    let begin = std::time::Instant::now();
    tokio::time::sleep(time::Duration::from_secs(options.seconds.into())).await;
    let (later, ended, answered) = sample(&hosts);
    let share = begin.elapsed().as_secs_f64() * options.hosts as f64;
    print!("{} hosts, {} owners", options.hosts, options.owners);
    print!(
        ", {:.1} answers/s per host",
        (answered - answers) as f64 / share
    );
    for (index, count) in RATES.iter().enumerate() {
        let rate = (later[index] - counts[index]) as f64 / share;
        print!(", {} {rate:.1}/s", count.name());
    }
    for (index, name) in ["host threads", "link threads"].iter().enumerate() {
        let spent = (ended[index] - times[index]).as_secs_f64();
        print!(", {name} {:.3}% of a core", spent / share * 100.0);
    }
    let memory = Process::resident_bytes().saturating_sub(before) / options.hosts as u64;
    println!(", {} KiB per host", memory / 1024);
    calls.abort();
    let failed = callers.report().failed;
    anyhow::ensure!(failed == 0, "{failed} requests failed");
    Ok(())
}

/// Sends requests at a constant rate to the addresses in turn until the task is aborted.
async fn send(callers: callers::Callers, addresses: Vec<net::SocketAddr>, options: Options) {
    if options.rate == 0 {
        return;
    }
    let mut interval = tokio::time::interval(time::Duration::from_secs(1) / options.rate);
    for number in 0.. {
        interval.tick().await;
        let (callers, to) = (callers.clone(), addresses[number % addresses.len()]);
        tokio::spawn(async move { callers.send(to, 0).await });
    }
}
