use core::time;
use std::net;

use base::mutex;
use rand::seq::IteratorRandom;

use crate::history;
use crate::mesh;
use crate::peers;
use crate::snapshot;

/// Time for which a watcher waits for the platform to deliver a change that
/// another host already has, before fetching it from that host.
const FETCH_DELAY: time::Duration = time::Duration::from_millis(150);

/// Period at which a starting host fetches state from a seed until it is ready.
/// The first wait gives the platform time to answer.
const SEED_PERIOD: time::Duration = time::Duration::from_millis(400);

impl mesh::Mesh {
    /// Fetches newer state from another host unless the platform delivers it
    /// first. Does nothing if another fetch is in progress.
    pub(crate) async fn catch_up(
        self,
        from: net::SocketAddr,
        plan: plan::Version,
        endpoints: plan::Version,
    ) {
        let Ok(_guard) = self.fetch_lock.try_lock() else {
            return;
        };
        let now = self.host.clock.now();
        if !self.host.uses_peer_endpoints(now) {
            tokio::time::sleep(FETCH_DELAY).await;
        }
        let lacks_plan = self.host.plan_version() < plan;
        let lacks_endpoints = self.host.endpoint_version() < endpoints
            && self.host.uses_peer_endpoints(self.host.clock.now());
        if lacks_plan || lacks_endpoints {
            self.fetch(from, plan).await;
        }
    }

    /// Fetches the state of a host that announces this version of the configuration.
    async fn fetch(&self, from: net::SocketAddr, announced: plan::Version) {
        let requested_at = self.host.clock.now();
        let own = self.host.table.load_full();
        let version = own
            .as_ref()
            .map_or_else(plan::Version::default, |own| own.plan().version());
        // The same revision in a newer era mostly has the same content.
        let may_be_same = announced.era > version.era && announced.revision == version.revision;
        let known = snapshot::Known {
            version,
            content: own
                .as_ref()
                .filter(|_| may_be_same)
                .map(|own| snapshot::content(own.plan())),
            endpoints: Some(self.host.endpoint_version()),
        };
        let Some(mut snapshot) = self.get(from, known, announced).await else {
            return;
        };
        let changed = snapshot
            .update
            .as_ref()
            .filter(|update| update.has_changes())
            .zip(own.as_ref())
            .map(|(update, own)| update.apply(own.plan()));
        let changed = match changed.transpose() {
            Ok(changed) => changed,
            Err(cause) => {
                log::warn!(
                    target: "edge", peer = from.to_string().as_str(),
                    version = version.to_string().as_str();
                    "a change does not fit the configuration in force, the whole is fetched: {cause}"
                );
                let Some(whole) = self.get(from, snapshot::Known::default(), announced).await
                else {
                    return;
                };
                snapshot = whole;
                None
            }
        };
        let source = from.to_string();
        // Before the endpoints, so that no request reaches those that are evacuated.
        let now = self.host.clock.now();
        self.host
            .apply_evacuation(now, &snapshot.evacuated, &source);
        let (plan_version, endpoint_version) =
            (snapshot.plan_version(), snapshot.endpoint_version());
        let read = mutex::lock(&self.host.eras).learn(plan_version);
        if let Some(plan) = read {
            self.host.apply_plan(plan, "platform");
        }
        // Without a plan, the other host has an older one, or the same in an era
        // that is newer.
        let same = own
            .filter(|_| may_be_same && plan_version.revision == version.revision)
            .map(|own| plan::Plan {
                era: plan_version.era,
                ..own.plan().clone()
            });
        if let Some(plan) = snapshot.plan.or(changed).or(same) {
            self.host.apply_plan(plan, &source);
        }
        let has_list = !snapshot
            .update
            .as_ref()
            .is_some_and(|update| update.has_same_endpoints);
        let follows = self.host.uses_peer_endpoints(requested_at);
        let mut registry = mutex::lock(&self.host.registry);
        if follows && has_list && registry.version() < endpoint_version {
            let now = self.host.clock.now();
            registry.set_colds(now, &snapshot.endpoints, &snapshot.cold.entries);
            registry.replace_from_peer(now, snapshot.endpoints, endpoint_version);
            registry.hold_from_peer(now, snapshot.held);
            self.host.use_endpoints(&registry);
        }
        self.host
            .apply_cold(self.host.clock.now(), &snapshot.cold.summaries);
        let is_current =
            self.host.plan_version() == plan_version && registry.version() >= endpoint_version;
        if is_current {
            let age = time::Duration::from_millis(snapshot.age_ms);
            self.host.confirm_plan_at(requested_at.saturating_sub(age));
        }
    }

    /// Fetches a state; logs a failure, and the arrival of a configuration.
    async fn get(
        &self,
        from: net::SocketAddr,
        known: snapshot::Known,
        announced: plan::Version,
    ) -> Option<snapshot::Snapshot> {
        let requested_at = self.host.clock.now();
        let source = from.to_string();
        let fetched = peers::fetch(&self.host.client, from, known).await;
        let took = self.host.clock.now().saturating_sub(requested_at);
        let bytes = fetched.as_ref().map_or(0, |(_, bytes)| *bytes as u64);
        self.host.record_fetch(fetched.is_ok(), bytes, took);
        let snapshot = match fetched {
            Ok((snapshot, _)) => snapshot,
            Err(cause) => {
                log::warn!(
                    target: "edge",
                    peer = source.as_str(), took_ms = took.as_millis() as u64,
                    version = known.version.to_string().as_str(),
                    announced = announced.to_string().as_str();
                    "state not fetched: {cause}"
                );
                return None;
            }
        };
        let update = snapshot.update.as_ref();
        let has_changes = update.is_some_and(history::Update::has_changes);
        if snapshot.plan.is_some() || has_changes {
            log::info!(
                target: "edge",
                peer = source.as_str(), bytes = bytes, took_ms = took.as_millis() as u64,
                version = snapshot.plan_version().to_string().as_str(), whole = !has_changes;
                "configuration fetched"
            );
        }
        Some(snapshot)
    }

    /// Fetches state from random seeds until this host is ready, in case the
    /// platform does not answer it.
    pub(crate) async fn fetch_from_seeds(self) {
        loop {
            tokio::time::sleep(SEED_PERIOD).await;
            if self.host.is_ready() || self.host.is_leaving() {
                return;
            }
            let own = self.host.options.peer_listen;
            let others = self.host.options.seeds.iter().filter(|seed| **seed != own);
            let seed = {
                let mut rng = mutex::lock(&self.host.rng);
                others.choose(&mut *rng).copied()
            };
            if let Some(seed) = seed {
                self.fetch(seed, plan::Version::default()).await;
            }
        }
    }
}
