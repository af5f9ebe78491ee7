use core::time;
use std::collections;
use std::net;

use base::mutex;
use rand::RngExt;
use rand::seq::IteratorRandom;

use crate::bulk;
use crate::history;
use crate::mesh;
use crate::peers;
use crate::snapshot;
use crate::sources;

/// Time for which a watcher waits for the platform to deliver a change that
/// another host already has, before fetching it from that host.
const FETCH_DELAY: time::Duration = time::Duration::from_millis(150);

/// Period at which a starting host fetches state from a seed until it is ready.
/// The first wait gives the platform time to answer.
const SEED_PERIOD: time::Duration = time::Duration::from_millis(400);

/// Time for which a host is not asked again after it was busy. A random part is added, so
/// that those it refused do not come back together.
const BUSY_REST: time::Duration = time::Duration::from_millis(40);

/// Longest wait before the choice is made again, as another host may have announced the
/// state meanwhile.
const WAIT_MAX: time::Duration = time::Duration::from_millis(50);

/// Time for which a host is not asked again after a failure.
const FAILURE_REST: time::Duration = time::Duration::from_millis(1_000);

impl mesh::Mesh {
    /// Fetches the newer state that other hosts announce, until none has any, unless the
    /// platform delivers it first. Does nothing if another fetch is in progress.
    pub(crate) async fn catch_up(self) {
        let Ok(_guard) = self.fetch_lock.try_lock() else {
            return;
        };
        if !self.host.uses_peer_endpoints(self.host.clock.now()) {
            tokio::time::sleep(FETCH_DELAY).await;
        }
        loop {
            match self.choose_source() {
                sources::Choice::Nothing => return,
                sources::Choice::Ask(source, announced) => self.fetch(source, announced).await,
                sources::Choice::Wait(until) => {
                    let left = until.saturating_sub(self.host.clock.now());
                    tokio::time::sleep(left.min(WAIT_MAX)).await;
                }
            }
        }
    }

    fn choose_source(&self) -> sources::Choice {
        let host = &self.host;
        let now = host.clock.now();
        let own = sources::Own {
            plan: host.plan_version(),
            endpoints: host
                .uses_peer_endpoints(now)
                .then(|| host.endpoint_version()),
        };
        let near: collections::HashSet<net::IpAddr> = {
            let membership = mutex::lock(&host.membership);
            let entries = membership.entries();
            let near = entries
                .filter(|(entry, _)| entry.data_centre == host.options.data_centre)
                .map(|(entry, _)| entry.peer.ip());
            near.collect()
        };
        let rng = &mut *mutex::lock(&host.rng);
        let is_near = |ip| near.contains(&ip);
        mutex::lock(&host.sources).choose(now, own, is_near, rng)
    }

    /// Takes note of a host that is busy, and of those that it names.
    fn avoid_busy(&self, from: net::SocketAddr, busy: &bulk::Busy) {
        let now = self.host.clock.now();
        let jitter = mutex::lock(&self.host.rng).random_range(0.0..1.0);
        let mut sources = mutex::lock(&self.host.sources);
        for holder in &busy.holders {
            sources.record_holder(now, *holder, busy.plan);
        }
        sources.record_plan(now, from, busy.plan);
        sources.rest(from, now + BUSY_REST + BUSY_REST.mul_f64(jitter));
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
        let changed = match self.apply_update(&mut snapshot, own.as_deref()) {
            Ok(changed) => changed,
            Err(cause) => {
                log::warn!(
                    target: "edge", peer = from.to_string().as_str(),
                    version = version.to_string().as_str();
                    "a change does not fit the state in use, the whole is fetched: {cause}"
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

    /// Completes a state that leaves out what this host has. Returns the configuration that
    /// follows from the one in force.
    ///
    /// # Errors
    ///
    /// Fails if the changes are malformed, or if they were made of another state.
    fn apply_update(
        &self,
        snapshot: &mut snapshot::Snapshot,
        own: Option<&plan::Table>,
    ) -> Result<Option<plan::Plan>, String> {
        let Some(update) = &snapshot.update else {
            return Ok(None);
        };
        let list = mutex::lock(&self.host.registry).endpoints();
        if let Some(list) = update.apply_list(list)? {
            snapshot.endpoints = list;
        }
        let changed = own.map(|own| update.apply(own.plan()));
        changed.unwrap_or(Ok(None))
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
        let (result, bytes) = match &fetched {
            Ok(peers::Fetched::State(_, bytes)) => ("fetched", *bytes as u64),
            Ok(peers::Fetched::Busy(_)) => ("busy", 0),
            Err(_) => ("failed", 0),
        };
        self.host.record_fetch(result, bytes, took);
        let snapshot = match fetched {
            Ok(peers::Fetched::State(snapshot, _)) => *snapshot,
            Ok(peers::Fetched::Busy(busy)) => {
                self.avoid_busy(from, &busy);
                return None;
            }
            Err(cause) => {
                let until = self.host.clock.now() + FAILURE_REST;
                mutex::lock(&self.host.sources).rest(from, until);
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
        // Also if it is older than announced: the host may have started again.
        mutex::lock(&self.host.sources).record(
            requested_at,
            from,
            snapshot.plan_version(),
            snapshot.endpoint_version(),
        );
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
            let Some(seed) = seed else {
                continue;
            };
            // A slow link carries one state in half of the time that two take.
            let guard = self.fetch_lock.lock().await;
            if self.host.is_ready() {
                return;
            }
            self.fetch(seed, plan::Version::default()).await;
            drop(guard);
            // The seed may have been busy and have named others.
            self.clone().catch_up().await;
        }
    }
}
