//! Valid configurations reach all hosts, and no host returns to an older one.

use core::time;
use std::collections;
use std::net;

use http_body_util::BodyExt as _;
use testkit::platform;

use crate::fleet;
use crate::model;

const HOSTS: usize = 4;
/// Time within which a host would apply an offered revision.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Stand-in platform and the hosts that read from it.
struct Setup {
    platform: platform::Platform,
    fleet: fleet::Fleet,
}

impl Setup {
    async fn start() -> Self {
        let platform = platform::Platform::start(platform::Options::default());
        let addresses: Vec<net::SocketAddr> = (0..HOSTS)
            .map(|host| platform.address(&reader(host)).expect("a free port"))
            .collect();
        let settings = |host: usize| {
            let further = format!("[fleet]\nplatform = {}\n", addresses[host]);
            fleet::settings(&[], &further)
        };
        let fleet = fleet::Fleet::start_each(HOSTS, settings).await;
        Self { platform, fleet }
    }

    /// Publishes a revision with a pool that is named after its number.
    fn publish(&self, revision: u64) {
        let text = format!("[pool rev-{revision}]\nkind = model\n");
        self.publish_text(revision, &text);
    }

    fn publish_text(&self, revision: u64, text: &str) {
        let files = collections::BTreeMap::from([
            ("05-fleet.ini".to_owned(), self.fleet.shared()),
            ("10-test.ini".to_owned(), fleet::settings(&[], text)),
        ]);
        self.platform.set_config(revision, files);
    }

    fn for_readers(
        &self,
        hosts: impl IntoIterator<Item = usize>,
        set: impl Fn(&platform::Platform, &str),
    ) {
        for host in hosts {
            set(&self.platform, &reader(host));
        }
    }

    /// Waits until the revision is in force on these hosts.
    async fn wait_for_revision(&self, hosts: impl IntoIterator<Item = usize>, revision: u64) {
        for host in hosts {
            let what = format!("host-{host} has revision {revision}");
            fleet::until(&what, async || self.revision(host).await == revision).await;
        }
    }

    /// Asserts that the revision stays in force on these hosts although another one is
    /// offered.
    async fn assert_keeps(&self, hosts: impl IntoIterator<Item = usize>, revision: u64) {
        tokio::time::sleep(SETTLE_TIME).await;
        for host in hosts {
            assert_eq!(self.revision(host).await, revision, "host-{host}");
        }
    }

    /// Returns the revision in force according to the pool names of a host; 0 for none.
    async fn revision(&self, host: usize) -> u64 {
        let request = http::Request::get(format!("http://{}/v1/models", self.fleet.caller(host)))
            .body(http_body_util::Full::default())
            .expect("the request is valid");
        let response = model::client().send(request).await;
        let body = response.expect("the host answers").into_body();
        let body = body.collect().await.expect("a whole body").to_bytes();
        let value: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        let models = value["data"].as_array().cloned().unwrap_or_default();
        let ids = models.iter().filter_map(|model| model["id"].as_str());
        let mut numbers = ids.filter_map(|id| id.strip_prefix("rev-")?.parse().ok());
        numbers.next().unwrap_or(0)
    }

    /// Asserts from the logs that in each process lifetime of each host the revisions in
    /// force only increased, and that no rejected one came into force.
    fn check_logs(&self, rejected: &[u64]) {
        for host in 0..HOSTS {
            let log = self.fleet.log(host);
            for lifetime in log.split("serves callers on") {
                let revisions: Vec<u64> = lifetime.lines().filter_map(in_force).collect();
                assert!(
                    revisions.is_sorted_by(|a, b| a < b),
                    "host-{host}: {revisions:?}"
                );
                assert!(
                    !revisions.iter().any(|revision| rejected.contains(revision)),
                    "host-{host}: {revisions:?}"
                );
            }
        }
    }
}

/// Returns the name under which a host reads from the platform.
fn reader(host: usize) -> String {
    format!("host-{host}")
}

/// Returns the revision that a log line reports as in force.
fn in_force(line: &str) -> Option<u64> {
    let text = line.split_once("configuration revision ")?.1;
    text.strip_suffix(" is in force")?.parse().ok()
}

/// Guards against hosts that miss a revision, return to an older one or lose the
/// configuration while the platform is down or serves stale data and hosts restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revisions_survive_a_platform_that_is_down_or_stale() {
    let mut setup = Setup::start().await;
    for revision in 1..=2 {
        setup.publish(revision);
        setup.wait_for_revision(0..HOSTS, revision).await;
    }
    setup.for_readers(0..HOSTS, |platform, name| platform.set_down(name, true));
    setup.publish(3);
    setup.fleet.kill(3);
    setup.fleet.boot(3);
    setup.fleet.wait_for_membership().await;
    // The restarted host can fetch the configuration only from its peers.
    setup.wait_for_revision(0..HOSTS, 2).await;
    setup.for_readers(0..HOSTS, |platform, name| platform.set_down(name, false));
    setup.wait_for_revision(0..HOSTS, 3).await;
    setup.for_readers(0..HOSTS, |platform, name| {
        platform.set_replaying(name, true);
        platform.set_stale(name, Some(1));
    });
    setup.publish(4);
    setup.assert_keeps(0..HOSTS, 3).await;
    setup.fleet.kill(0);
    setup.fleet.boot(0);
    setup.fleet.wait_for_membership().await;
    setup.wait_for_revision(0..HOSTS, 3).await;
    setup.for_readers(0..HOSTS, |platform, name| {
        platform.set_replaying(name, false);
        platform.set_stale(name, None);
    });
    setup.wait_for_revision(0..HOSTS, 4).await;
    setup.check_logs(&[]);
}

/// Guards against an invalid revision that comes into force or blocks the next valid one,
/// and against hosts that disagree after a network partition.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revisions_survive_an_invalid_one_and_a_partition() {
    let setup = Setup::start().await;
    setup.publish(1);
    setup.wait_for_revision(0..HOSTS, 1).await;
    setup.publish_text(2, "[pool rev-2]\nkind = nothing\n");
    setup.assert_keeps(0..HOSTS, 1).await;
    setup.publish(3);
    setup.wait_for_revision(0..HOSTS, 3).await;
    setup.fleet.net.split(&[0, 1]);
    setup.for_readers(2..HOSTS, |platform, name| platform.set_stale(name, Some(3)));
    setup.publish(4);
    setup.wait_for_revision(0..2, 4).await;
    setup.assert_keeps(2..HOSTS, 3).await;
    setup.fleet.net.heal();
    // The platform is still stale for two hosts, which fetch from the others.
    setup.wait_for_revision(0..HOSTS, 4).await;
    setup.check_logs(&[2]);
}
