use core::time;
use std::net;
use std::sync;

use crate::client;
use crate::engine;
use crate::load;
use crate::measure::class::Work;
use crate::measure::cluster::Cluster;
use crate::measure::settings;
use crate::measure::shape::Shape;
use crate::server;

/// Maximum number of requests to a host that has just started until it answers.
const READY_ATTEMPTS: u32 = 200;
/// Delay between these requests.
const READY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Router hosts of a run.
pub(crate) struct Hosts(Vec<host::Host>);

impl Hosts {
    /// Starts the hosts and waits until each one answers on all models and services.
    ///
    /// # Errors
    ///
    /// Returns an error if a host cannot be started or does not give a complete answer within
    /// 200 attempts, which takes at least 20 s.
    pub(crate) async fn start(
        shape: &Shape,
        cluster: &Cluster,
        count: usize,
        policy: host::Policy,
    ) -> anyhow::Result<Self> {
        let mut reserved = Vec::new();
        let mut peers = Vec::new();
        for number in 0..count.max(1) {
            let socket = server::reserve()?;
            peers.push((format!("host-{number}"), socket.local_addr()?));
            reserved.push(socket);
        }
        let settings = sync::Arc::new(settings::settings(shape, cluster, &peers));
        let mut hosts = Vec::new();
        for (number, (name, peer)) in peers.into_iter().enumerate() {
            let centre = shape.data_centres[number % shape.data_centres.len()];
            let options = host::Options {
                settings: sync::Arc::clone(&settings),
                name,
                data_centre: centre.into(),
                region: shape.name.into(),
                listen: (net::Ipv4Addr::LOCALHOST, 0).into(),
                peer_listen: peer,
                peer_advertise: None,
                admin_listen: None,
                policy,
                stall_timeout: host::STALL_TIMEOUT,
            };
            hosts.push(host::Host::start(options).await?);
        }
        let hosts = Self(hosts);
        for number in 0..hosts.0.len() {
            hosts.wait_until_ready(shape, number).await?;
        }
        Ok(hosts)
    }

    /// Returns the address of the host for a caller, in round-robin order.
    pub(crate) fn address(&self, caller: usize) -> net::SocketAddr {
        self.0[caller % self.0.len()].caller_addr()
    }

    /// Stops all hosts.
    pub(crate) async fn shutdown(self) {
        for host in self.0 {
            host.shutdown().await;
        }
    }

    async fn wait_until_ready(&self, shape: &Shape, number: usize) -> anyhow::Result<()> {
        let client = client::Client::new(client::Version::Http1, None);
        let services = shape.classes.iter().filter_map(|class| match class.work {
            Work::Service { .. } => Some((format!("/services/{}/warm", class.name), None)),
            Work::Model { .. } => None,
        });
        let model = "/v1/chat/completions".to_owned();
        let models = [settings::PROBE, shape.model];
        let models = models.map(|name| (model.clone(), Some(name.to_owned())));
        for (path, model) in services.chain(models) {
            let mut last = load::Outcome::default();
            for attempt in 0..READY_ATTEMPTS {
                let tag = format!("warm-{number}-{attempt}-{}", path.replace('/', "-"));
                let call = load::Call {
                    headers: load::idempotency_headers(&tag),
                    path: path.clone(),
                    model: model.clone(),
                    seed: engine::Length::seed(0, attempt),
                    max_tokens: Some(1),
                    stream: true,
                    expected: 1,
                    key: Some(shape.teams[0].key()),
                    tag,
                    ..load::Call::default()
                };
                last = call.send(&client, self.address(number)).await.outcome;
                if last.is_whole() {
                    break;
                }
                tokio::time::sleep(READY_DELAY).await;
            }
            anyhow::ensure!(
                last.is_whole(),
                "host {number} gave no complete answer on {path}; last outcome: {last:?}"
            );
        }
        Ok(())
    }
}
