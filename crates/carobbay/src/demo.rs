use core::time;
use std::collections;
use std::net;
use std::process;
use std::sync;

use anyhow::Context;
use sha2::Digest;
use testkit::load;
use testkit::measure;
use tokio::signal::unix;

use crate::cli;
use crate::progress;

/// Time during which requests arrive.
const LOAD_DURATION: time::Duration = time::Duration::from_secs(4);
/// Time after which a caller cancels its request.
const CALLER_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Duration of a lease. It is short because requests are sent only once the hosts hold
/// their leases.
const LEASE: time::Duration = time::Duration::from_secs(1);
/// Maximum wait until the hosts hold their leases. Until then they refuse requests that
/// must run at most once.
const LEASES_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Interval between two checks of the leases.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Number of stand-in engines.
const ENGINES: usize = 4;
/// Number of hosts.
const HOSTS: usize = 2;
/// Maximum number of sample answers that are printed.
const SAMPLES_MAX: usize = 5;
/// Bearer key of the administration API.
const ADMIN_KEY: &str = "demo";
/// Seed of the arrival times.
const SEED: u64 = 1;

/// Runs the command `demo`: hosts and stand-in endpoints on loopback, under a mixed load
/// or until a signal.
pub(crate) fn run(options: &cli::Demo) -> anyhow::Result<process::ExitCode> {
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    runtime.block_on(demo(options))?;
    Ok(process::ExitCode::SUCCESS)
}

async fn demo(options: &cli::Demo) -> anyhow::Result<()> {
    let mut shape = measure::Shape::kalahari();
    shape.engines = ENGINES;
    let cluster = measure::Cluster::start(&shape)?;
    let hosts = start(options, &shape, &cluster).await?;
    println!("{HOSTS} hosts and {ENGINES} stand-in engines on loopback");
    if options.stay {
        return wait_for_signal(&shape, &hosts).await;
    }
    let label = format!(
        "sending requests for {} s once the hosts hold leases",
        LOAD_DURATION.as_secs()
    );
    progress::show(&label, load(&shape, &hosts)).await;
    // No caller is left, so the process ends without a graceful shutdown.
    Ok(())
}

/// Prints addresses and keys, then waits for SIGTERM or SIGINT.
async fn wait_for_signal(shape: &measure::Shape, hosts: &[host::Host]) -> anyhow::Result<()> {
    for host in hosts {
        let admin = host
            .admin_addr()
            .context("the host has no administration API")?;
        println!("callers={} admin={admin}", host.caller_addr());
    }
    println!("model {}, administration key {ADMIN_KEY}", shape.model);
    for team in &shape.teams {
        println!("team {} has the key {}", team.name, team.key());
    }
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Delay between the start of the leases and the first request. An owner refuses a first
/// attempt unless it is later than the start of its lease by more than the clock skew in
/// the settings, which is 200 ms.
const LEASE_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Sends the load and prints what callers and hosts measured.
async fn load(shape: &measure::Shape, hosts: &[host::Host]) {
    let addresses: Vec<net::SocketAddr> = hosts.iter().map(host::Host::caller_addr).collect();
    let has_leases = async {
        while !hosts.iter().all(host::Host::holds_lease) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(LEASES_TIMEOUT, has_leases)
        .await
        .is_err()
    {
        println!(
            "not every host holds a lease after {} s; requests that must run once are refused",
            LEASES_TIMEOUT.as_secs()
        );
    }
    tokio::time::sleep(LEASE_MARGIN).await;
    let flows = shape.flows(measure::Scenario::Steady, LOAD_DURATION);
    let arrivals = load::plan(&flows, LOAD_DURATION, SEED);
    let options = load::Options {
        run: "demo".to_owned(),
        lengths: shape.engine.lengths.clone(),
        engine_seed: shape.engine.seed,
        timeout: CALLER_TIMEOUT,
    };
    let samples = load::run(&flows, &arrivals, &options, |_, _, number| {
        addresses[number % addresses.len()]
    })
    .await;
    print_samples(&flows, &samples);
    let mut merged = burn::Snapshot::default();
    for host in hosts {
        merged.merge(&host.burn());
    }
    print_classes(&flows, &samples);
    println!("{}", burn::Report::new(&merged).text().trim_end());
}

/// Starts the hosts, each with the addresses of those started before it.
async fn start(
    arguments: &cli::Demo,
    shape: &measure::Shape,
    cluster: &measure::Cluster,
) -> anyhow::Result<Vec<host::Host>> {
    let local = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let mut peers: Vec<(String, net::SocketAddr)> = Vec::new();
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let name = format!("host-{number}");
        let mut settings = measure::settings(shape, cluster, &peers);
        // The address of the second host is not known when the first one starts; the
        // first one receives it in the digests of the second one.
        settings.once.owners = (0..HOSTS).map(|number| format!("host-{number}")).collect();
        settings.once.lease = LEASE;
        settings.admin.operate_key_hashes = vec![sha2::Sha256::digest(ADMIN_KEY).into()];
        let (listen, admin_listen) = match number {
            0 => (arguments.listen, arguments.admin_listen),
            _ => (local, local),
        };
        let options = host::Options {
            settings: sync::Arc::new(settings),
            name: name.clone(),
            data_centre: shape.data_centres[number % shape.data_centres.len()].into(),
            region: shape.name.into(),
            listen,
            peer_listen: local,
            peer_advertise: None,
            admin_listen: Some(admin_listen),
            policy: host::Policy::Current,
            stall_timeout: host::STALL_TIMEOUT,
        };
        let host = host::Host::start(options).await?;
        peers.push((name, host.peer_addr()));
        hosts.push(host);
    }
    Ok(hosts)
}

/// Prints the first whole answer of each class, for at most [`SAMPLES_MAX`] classes.
fn print_samples(flows: &[load::Flow], samples: &[load::Sample]) {
    println!("sample answers:");
    let mut seen = collections::BTreeSet::new();
    for sample in samples {
        let class = flows[sample.arrival.flow].class.as_str();
        if !sample.record.outcome.is_whole() || !seen.insert(class) {
            continue;
        }
        let millis = |time: Option<time::Duration>| time.unwrap_or_default().as_millis();
        println!(
            "  {class}: first output after {} ms, whole after {} ms, {} tokens, queued {} ms",
            millis(sample.record.first),
            sample.record.total.as_millis(),
            sample.record.tokens,
            millis(sample.record.queued)
        );
        if seen.len() == SAMPLES_MAX {
            return;
        }
    }
}

/// Prints how the requests of each class ended for their callers.
fn print_classes(flows: &[load::Flow], samples: &[load::Sample]) {
    let mut counts: collections::BTreeMap<&str, [usize; 4]> = collections::BTreeMap::new();
    for sample in samples {
        let class = flows[sample.arrival.flow].class.as_str();
        let index = match &sample.record.outcome {
            outcome if outcome.is_whole() => 0,
            load::Outcome::Refused { .. } => 1,
            load::Outcome::Cancelled => 2,
            _ => 3,
        };
        counts.entry(class).or_default()[index] += 1;
    }
    println!("results as seen by callers:");
    for (class, [whole, refused, cancelled, failed]) in counts {
        println!(
            "  {class:<12} {whole} whole, {refused} refused, {cancelled} cancelled, {failed} failed"
        );
    }
}
