//! Measurement of the time until a configuration change is in force on all hosts.

use core::time;
use std::collections;

use crate::capacity::fleet;
use crate::capacity::settings;
use crate::platform;

/// Maximum time until a revision is in force on all hosts.
const IN_FORCE_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Minimum pause between two changes.
const PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Step by which the pauses between changes vary.
const PAUSE_STEP: time::Duration = time::Duration::from_millis(210);
/// Reader name that all hosts use at the platform.
const READER: &str = "all";

/// Makes `changes` configuration changes on `count` hosts, then starts a host while the
/// platform is down, and prints the times until the configuration is in force.
///
/// # Errors
///
/// Returns an error if a host cannot be started or a change is not in force on all hosts
/// within 15 s.
pub async fn measure(count: usize, changes: u64) -> anyhow::Result<()> {
    let platform = platform::Platform::start(platform::Options::default());
    platform.set_config(1, files(1));
    let address = platform.address(READER)?;
    let mut hosts = fleet::start(count, "", &[address]).await?;
    in_force(&hosts, 1).await?;
    // Leaves time for the watchers' requests to be pending at the platform and for the other
    // hosts to reach a steady state.
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
        // Digests are sent every second; varied pauses place the changes at different phases
        // of that second.
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
    fleet::wait(IN_FORCE_TIMEOUT, || {
        hosts.iter().all(|host| host.revision() >= revision)
    })
    .await
    .ok_or_else(|| {
        anyhow::anyhow!(
            "revision {revision} is not in force on all hosts after {IN_FORCE_TIMEOUT:?}"
        )
    })
}

fn files(revision: u64) -> collections::BTreeMap<String, String> {
    let changed = format!("[class open]\ndeadline = {}s\n", 600 + revision);
    collections::BTreeMap::from([
        ("10-capacity.ini".to_owned(), settings::text("")),
        ("20-change.ini".to_owned(), changed),
    ])
}
