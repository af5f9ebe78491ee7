//! Time until a configuration change is in force.

use core::time;
use std::collections;

use crate::capacity::fleet;
use crate::capacity::settings;
use crate::platform;

/// Longest wait until a revision is in force everywhere.
const FORCE_MAX: time::Duration = time::Duration::from_secs(15);
/// Shortest pause between two changes.
const PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Steps by which the pauses differ.
const PAUSE_STEP: time::Duration = time::Duration::from_millis(210);
/// Name under which all hosts read the platform.
const READER: &str = "all";

/// Makes changes, then starts a host while the platform is down.
///
/// # Errors
///
/// Fails if a host cannot be started or a change is not in force in time.
pub async fn measure(count: usize, changes: u64) -> anyhow::Result<()> {
    let platform = platform::Platform::start(platform::Options::default());
    platform.set_config(1, files(1));
    let address = platform.address(READER)?;
    let mut hosts = fleet::start(count, "", &[address]).await?;
    in_force(&hosts, 1).await?;
    // The watchers hold their watches and the others have settled.
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    let (before, begin) = (platform.counters(), std::time::Instant::now());
    for revision in 2..changes + 2 {
        platform.set_config(revision, files(revision));
        let spent = in_force(&hosts, revision).await?;
        println!(
            "change {} in force on {count} hosts after {} ms",
            revision - 1,
            spent.as_millis()
        );
        // The digests are sent each second; changes fall on all parts of it.
        let pause = PAUSE + PAUSE_STEP * u32::try_from(revision % 5)?;
        tokio::time::sleep(pause).await;
    }
    let (after, seconds) = (platform.counters(), begin.elapsed().as_secs_f64());
    println!(
        "platform: {:.2} configuration reads/s, {:.2} list reads/s, {} watches wait, {} refused, \
         at most {} in a second",
        (after.config - before.config) as f64 / seconds,
        (after.hosts - before.hosts) as f64 / seconds,
        after.waiting,
        after.refused,
        after.peak_reads,
    );
    platform.set_down(READER, true);
    let seeds: Vec<_> = hosts.iter().take(3).map(host::Host::peer_addr).collect();
    let begin = std::time::Instant::now();
    let options = settings::host_options(count, "", &seeds, &[address])?;
    let late = host::Host::start(options).await?;
    hosts.push(late);
    in_force(&hosts[count..], changes + 1).await?;
    println!(
        "a host that starts with the platform down has the configuration after {} ms",
        begin.elapsed().as_millis()
    );
    Ok(())
}

async fn in_force(hosts: &[host::Host], revision: u64) -> anyhow::Result<time::Duration> {
    fleet::wait(FORCE_MAX, || {
        hosts.iter().all(|host| host.revision() >= revision)
    })
    .await
    .ok_or_else(|| anyhow::anyhow!("revision {revision} is not in force in time"))
}

fn files(revision: u64) -> collections::BTreeMap<String, String> {
    let changed = format!("[class open]\ndeadline = {}s\n", 600 + revision);
    collections::BTreeMap::from([
        ("10-capacity.ini".to_owned(), settings::text("")),
        ("20-change.ini".to_owned(), changed),
    ])
}
