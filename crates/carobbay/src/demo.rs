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
const SPAN: time::Duration = time::Duration::from_secs(4);
/// Time after its arrival at which a caller gives up.
const PATIENCE: time::Duration = time::Duration::from_secs(5);
/// Length of a lease, short so that the demonstration is.
const LEASE: time::Duration = time::Duration::from_secs(1);
/// Longest wait until the hosts hold their leases; bookings are refused before.
const MEETING_MAX: time::Duration = time::Duration::from_secs(8);
/// Period in which the leases are looked at.
const LOOK: time::Duration = time::Duration::from_millis(50);
/// Engines behind the hosts.
const ENGINES: usize = 4;
/// Hosts.
const HOSTS: usize = 2;
/// Answers that are printed.
const SHOWN: usize = 5;
/// Bearer key of the administration API.
const ADMIN_KEY: &str = "demo";
/// Seed of the arrivals.
const SEED: u64 = 1;

/// Runs hosts and stand-in endpoints on loopback under a mixed load.
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
        return stay(&shape, &hosts).await;
    }
    progress::show("requests arrive for some seconds", load(&shape, &hosts)).await;
    // Nobody calls any more, so the process ends without the graceful shutdown.
    Ok(())
}

/// Waits until the process is told to stop.
async fn stay(shape: &measure::Shape, hosts: &[host::Host]) -> anyhow::Result<()> {
    for host in hosts {
        let admin = host.admin_addr().context("no administration API")?;
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

/// Time after the leases begin. An owner refuses a first attempt that is not
/// later than its lease by more than the clock skew of the settings, 200 ms.
const SETTLE: time::Duration = time::Duration::from_millis(500);

async fn load(shape: &measure::Shape, hosts: &[host::Host]) {
    let addresses: Vec<net::SocketAddr> = hosts.iter().map(host::Host::caller_addr).collect();
    let met = async {
        while !hosts.iter().all(host::Host::holds_lease) {
            tokio::time::sleep(LOOK).await;
        }
    };
    if tokio::time::timeout(MEETING_MAX, met).await.is_err() {
        println!("the hosts have no leases; bookings are refused");
    }
    tokio::time::sleep(SETTLE).await;
    let flows = shape.flows(measure::Scenario::Steady, SPAN);
    let arrivals = load::plan(&flows, SPAN, SEED);
    let options = load::Options {
        run: "demo".to_owned(),
        lengths: shape.engine.lengths.clone(),
        engine_seed: shape.engine.seed,
        timeout: PATIENCE,
    };
    let samples = load::run(&flows, &arrivals, &options, |_, _, number| {
        addresses[number % addresses.len()]
    })
    .await;
    answers(&flows, &samples);
    let mut merged = burn::Snapshot::default();
    for host in hosts {
        merged.merge(&host.burn());
    }
    classes(&flows, &samples);
    println!("{}", burn::Report::new(&merged).text().trim_end());
}

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
        // The first host does not know the address of the second one yet; it
        // learns it from the digests of the second one.
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
        };
        let host = host::Host::start(options).await?;
        peers.push((name, host.peer_addr()));
        hosts.push(host);
    }
    Ok(hosts)
}

fn answers(flows: &[load::Flow], samples: &[load::Sample]) {
    println!("some answers:");
    let mut seen = collections::BTreeSet::new();
    for sample in samples {
        let class = flows[sample.arrival.flow].class.as_str();
        if !sample.record.outcome.is_whole() || !seen.insert(class) {
            continue;
        }
        let millis = |time: Option<time::Duration>| time.unwrap_or_default().as_millis();
        println!(
            "  {class}: first after {} ms, whole after {} ms, {} tokens, queued {} ms",
            millis(sample.record.first),
            sample.record.total.as_millis(),
            sample.record.tokens,
            millis(sample.record.queued)
        );
        if seen.len() == SHOWN {
            return;
        }
    }
}

fn classes(flows: &[load::Flow], samples: &[load::Sample]) {
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
    println!("measures as callers saw them:");
    for (class, [whole, refused, left, failed]) in counts {
        println!("  {class:<12} {whole} whole, {refused} refused, {left} hung up, {failed} failed");
    }
}
