use std::sync;
use std::sync::atomic;

use base::mutex;

use crate::confirmation;
use crate::gossip;
use crate::host;
use crate::mesh;

/// Margin of the limits of request heads. Hundreds of callers that read slowly must fit
/// into the memory of a small host.
const HEAD_MARGIN_BYTES: usize = 16 * 1024;

/// Largest head of a request of another host, in bytes.
const PEER_HEAD_BYTES_MAX: usize = 128 * 1024;

/// Most header fields of a request of another host.
const PEER_HEAD_FIELDS_MAX: usize = 128;

/// Part of the connections of callers that other hosts may open in addition. As many
/// descriptors as callers have are left for other hosts and for endpoints.
const PEER_SHARE: usize = 3;

/// Most connections that read metrics.
const METRICS_CONNECTIONS_MAX: usize = 32;

impl host::Host {
    /// Puts a configuration in force if its version is above the current one;
    /// returns whether it did. `source` is where the configuration comes from,
    /// for the log.
    pub fn apply_plan(&self, plan: plan::Plan, source: &str) -> bool {
        let known = self.plan_version();
        let version = plan.version();
        if known.is_some() && version <= known {
            return false;
        }
        let (routes, teams) = (plan.routes.len(), plan.teams.len());
        let before = self.table.load_full();
        let has_moved = before.is_some_and(|before| plan.moves_routes_of(before.plan()));
        let services: Vec<u64> = plan
            .services
            .iter()
            .map(|service| gossip::name_hash(&service.name))
            .collect();
        let table = sync::Arc::new(plan::Table::new(plan));
        // Two sources may call this concurrently; the higher version wins.
        let replaced = self.table.rcu(|current| match current {
            Some(current) if current.plan().version() >= version => Some(current.clone()),
            _ => Some(table.clone()),
        });
        if let Some(replaced) = replaced
            && replaced.plan().version() < version
        {
            mutex::lock(&self.history).record(replaced.plan(), table.plan());
        }
        if let Some(server) = &*mutex::lock(&self.server)
            && let Some(current) = &*self.table.load()
        {
            server.set_options(self.front_options(&current.plan().limits));
        }
        {
            let registry = mutex::lock(&self.registry);
            let had_cold = {
                let mut balancer = mutex::lock(&self.balancer);
                let had_cold = balancer.has_cold_settings();
                if let Some(current) = &*self.table.load() {
                    balancer.set_services(&current.plan().services);
                }
                had_cold
            };
            // The endpoints were listed before it was known that they may be cold.
            if !had_cold {
                let endpoints = registry.endpoints();
                let ids = endpoints.iter().map(|endpoint| endpoint.id.as_str());
                self.mark_listed(&registry, &ids.collect(), true);
            }
        }
        if self.plan_version() != version {
            return false;
        }
        if has_moved {
            // A stream may have begun at another service than its route has now.
            self.confirmation.restart(self.clock.now());
            self.publish_builds(&services);
        }
        mutex::lock(&self.membership)
            .set_version(version.revision, mesh::digest_content(version.era));
        self.record_in_force(version);
        self.metrics.set("plan_revision", &[], version.revision);
        self.metrics.set("plan_era", &[], version.era);
        self.changed.notify_one();
        log::info!(
            target: "edge",
            version = version.to_string().as_str(), before = known.to_string().as_str(), source = source;
            "configuration in force with {routes} routes and {teams} teams"
        );
        true
    }

    /// Takes a configuration that was read from the platform. `item` is the
    /// platform's version of its last change. See [`Eras`](crate::eras::Eras) for the
    /// configuration of an older copy.
    pub fn read_plan(&self, plan: plan::Plan, item: plan::Version) {
        self.record_era(item.era, "platform");
        let now = self.clock.now();
        let plan = mutex::lock(&self.eras).read(now, plan, item);
        if let Some(plan) = plan {
            self.apply_plan(plan, "platform");
        }
    }

    /// Records that the platform has just confirmed, in this era, the configuration
    /// that was read last.
    pub fn confirm_read(&self, era: u64) {
        let plan = mutex::lock(&self.eras).confirm(self.clock.now(), era);
        if let Some(plan) = plan {
            self.apply_plan(plan, "platform");
        }
        self.confirm_fact(confirmation::Fact::Plan);
    }

    /// Records the newest era of the platform; `source` is where it was learned.
    /// Logs a change, because it means that the platform lost its newest changes.
    pub fn record_era(&self, era: u64, source: &str) {
        let before = self.era.fetch_max(era, atomic::Ordering::AcqRel);
        if era <= before {
            return;
        }
        self.confirmation.restart(self.clock.now());
        self.metrics.set("platform_era", &[], era);
        let (plan, endpoints) = (self.plan_version(), self.endpoint_version());
        if before > 0 {
            log::warn!(
                target: "edge",
                era = era, before = before, source = source,
                plan = plan.to_string().as_str(), endpoints = endpoints.to_string().as_str();
                "the platform was restored from an older copy"
            );
        }
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn plan_version(&self) -> plan::Version {
        let table = self.table.load();
        table
            .as_ref()
            .map_or_else(plan::Version::default, |table| table.plan().version())
    }

    pub(crate) fn front_options(&self, limits: &plan::Limits) -> front::Options {
        front::Options {
            body_bytes_max: limits.body_bytes,
            header_bytes_max: limits.header_bytes,
            head_margin_bytes: HEAD_MARGIN_BYTES,
            idle_timeout: limits.header_timeout,
            keep_alive: limits.idle_timeout,
            connections_max: self.options.connections_max,
            address_connections_max: self.options.connections_max,
            memory: self.options.memory.clone(),
            ..front::Options::default()
        }
    }

    /// Returns the limits of the listener for other hosts.
    pub(crate) fn peer_front_options(&self) -> front::Options {
        let connections_max = self.options.connections_max / PEER_SHARE;
        // Heads of callers are checked by the host that accepts them.
        front::Options {
            header_bytes_max: PEER_HEAD_BYTES_MAX as u64,
            header_count_max: PEER_HEAD_FIELDS_MAX,
            uri_bytes_max: PEER_HEAD_BYTES_MAX,
            connections_max,
            address_connections_max: connections_max,
            memory: self.options.memory.clone(),
            ..front::Options::default()
        }
    }

    /// Returns the limits of the listener for metrics.
    pub(crate) fn metrics_front_options(&self) -> front::Options {
        front::Options {
            connections_max: METRICS_CONNECTIONS_MAX,
            memory: self.options.memory.clone(),
            ..front::Options::default()
        }
    }
}
