//! Accepted configurations reach all hosts and never revert.

use core::time;
use std::collections;
use std::net;

use http_body_util::BodyExt as _;
use testkit::platform;

use crate::fleet;
use crate::model;

const HOSTS: usize = 4;
/// Time in which a host would take over a wrong revision.
const SETTLED: time::Duration = time::Duration::from_secs(4);

struct World {
    platform: platform::Platform,
    fleet: fleet::Fleet,
}

impl World {
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

    /// Publishes a revision whose pools name it.
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

    /// Waits until the revision is in force at these hosts.
    async fn reach(&self, hosts: impl IntoIterator<Item = usize>, revision: u64) {
        for host in hosts {
            let what = format!("host-{host} has revision {revision}");
            fleet::until(&what, async || self.revision(host).await == revision).await;
        }
    }

    /// Asserts that hosts keep a revision although another one is offered.
    async fn keep(&self, hosts: impl IntoIterator<Item = usize>, revision: u64) {
        tokio::time::sleep(SETTLED).await;
        for host in hosts {
            assert_eq!(self.revision(host).await, revision, "host-{host}");
        }
    }

    /// Returns the revision that a host's pools name; 0 for none.
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

    /// Asserts that in each lifetime of each host revisions only grew and that
    /// none of the refused ones was taken over.
    fn check_logs(&self, refused: &[u64]) {
        for host in 0..HOSTS {
            let log = self.fleet.log(host);
            for lifetime in log.split("serves callers on") {
                let revisions: Vec<u64> = lifetime.lines().filter_map(in_force).collect();
                assert!(
                    revisions.is_sorted_by(|a, b| a < b),
                    "host-{host}: {revisions:?}"
                );
                assert!(
                    !revisions.iter().any(|revision| refused.contains(revision)),
                    "host-{host}: {revisions:?}"
                );
            }
        }
    }
}

fn reader(host: usize) -> String {
    format!("host-{host}")
}

fn in_force(line: &str) -> Option<u64> {
    let text = line.split_once("configuration revision ")?.1;
    text.strip_suffix(" is in force")?.parse().ok()
}

/// Guards against hosts that miss a revision, go back to an older one or lose
/// the configuration, while the platform is down or stale and hosts restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revisions_survive_a_platform_that_is_down_or_stale() {
    let mut world = World::start().await;
    for revision in 1..=2 {
        world.publish(revision);
        world.reach(0..HOSTS, revision).await;
    }
    world.for_readers(0..HOSTS, |platform, name| platform.set_down(name, true));
    world.publish(3);
    world.fleet.kill(3);
    world.fleet.boot(3);
    world.fleet.meet().await;
    // The new lifetime has only its peers to ask.
    world.reach(0..HOSTS, 2).await;
    world.for_readers(0..HOSTS, |platform, name| platform.set_down(name, false));
    world.reach(0..HOSTS, 3).await;
    world.for_readers(0..HOSTS, |platform, name| {
        platform.set_replaying(name, true);
        platform.set_stale(name, Some(1));
    });
    world.publish(4);
    world.keep(0..HOSTS, 3).await;
    world.fleet.kill(0);
    world.fleet.boot(0);
    world.fleet.meet().await;
    world.reach(0..HOSTS, 3).await;
    world.for_readers(0..HOSTS, |platform, name| {
        platform.set_replaying(name, false);
        platform.set_stale(name, None);
    });
    world.reach(0..HOSTS, 4).await;
    world.check_logs(&[]);
}

/// Guards against a bad revision that is taken over or keeps the next good one
/// out, and against parts of the fleet that disagree after a split.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revisions_survive_a_bad_one_and_a_split() {
    let world = World::start().await;
    world.publish(1);
    world.reach(0..HOSTS, 1).await;
    world.publish_text(2, "[pool rev-2]\nkind = nothing\n");
    world.keep(0..HOSTS, 1).await;
    world.publish(3);
    world.reach(0..HOSTS, 3).await;
    world.fleet.net.split(&[0, 1]);
    world.for_readers(2..HOSTS, |platform, name| platform.set_stale(name, Some(3)));
    world.publish(4);
    world.reach(0..2, 4).await;
    world.keep(2..HOSTS, 3).await;
    world.fleet.net.heal();
    // The platform is still stale for two hosts, which learn from the others.
    world.reach(0..HOSTS, 4).await;
    world.check_logs(&[2]);
}
