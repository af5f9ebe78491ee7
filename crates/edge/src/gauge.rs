use std::collections;

use base::mutex;
use front::account;

use crate::host;
use crate::transition;

impl host::Host {
    /// Updates the gauges from the current state of the host.
    pub(crate) fn update_gauges(&self) {
        let now = self.clock.now();
        let metrics = &self.metrics;
        // CAST: A process does not run long enough to exceed the range.
        metrics.set("plan_age_ms", &[], self.plan_age(now).as_millis() as u64);
        let (is_unreachable, version) = {
            let registry = mutex::lock(&self.registry);
            (registry.is_unreachable(), registry.version())
        };
        metrics.set("platform_lost", &[], is_unreachable.into());
        metrics.set("endpoint_revision", &[], version.revision);
        metrics.set("endpoint_era", &[], version.era);
        let counts = mutex::lock(&self.balancer).counts(now);
        for (state, count) in [
            ("up", counts.up),
            ("leaving", counts.leaving),
            ("pausing", counts.pausing),
            ("down", counts.down),
        ] {
            metrics.set("endpoints", &[("state", state)], count);
        }
        let limited = mutex::lock(&self.balancer).limited(now).len();
        metrics.set("endpoints", &[("state", "limited")], limited as u64);
        let cold = mutex::lock(&self.balancer).cold_endpoints(now).len();
        metrics.set("endpoints_cold", &[], cold as u64);
        let evacuated = mutex::lock(&self.balancer).evacuated_count();
        metrics.set("endpoints_evacuated", &[], evacuated as u64);
        metrics.set("requests_at_endpoints", &[], counts.running);
        let cut_off = mutex::lock(&self.balancer).cut_off().len();
        metrics.set("services_cut_off", &[], cut_off as u64);
        let brittle = mutex::lock(&self.balancer).brittle(now).len();
        metrics.set("services_brittle", &[], brittle as u64);
        metrics.set(
            "requests_forwarded_open",
            &[],
            self.forwarding_count() as u64,
        );
        self.update_memory_gauges();
        self.update_host_gauges();
        self.update_connection_gauges();
        let share = self.retry_share();
        for (service, budget) in &*mutex::lock(&self.budgets) {
            // CAST: The value is not negative, and fractions do not count.
            let left = budget.balance(now, share).max(0.0) as u64;
            metrics.set("repeats_left", &[("service", service)], left);
        }
    }

    fn update_memory_gauges(&self) {
        let memory = &self.options.memory;
        let held = memory.held();
        for kind in account::Kind::ALL {
            let bytes = held[kind as usize] as u64;
            let tags = [("kind", kind.name())];
            self.metrics.set("caller_memory_bytes", &tags, bytes);
        }
        // The name that operators know from earlier builds.
        let bodies = held[account::Kind::Body as usize] as u64;
        self.metrics.set("body_bytes", &[], bodies);
        for (reason, count) in memory.counts() {
            let tags = [("reason", reason)];
            self.metrics.set("callers_refused", &tags, count);
        }
    }

    fn update_connection_gauges(&self) {
        let server = mutex::lock(&self.server);
        let Some(counters) = server.as_ref().map(front::Server::counters) else {
            return;
        };
        self.metrics.set("caller_connections", &[], counters.open);
        for (reason, count) in [
            ("idle", counters.idle_closed),
            ("slow_head", counters.slow_heads),
            ("stalled", counters.stalled),
        ] {
            let tags = [("reason", reason)];
            self.metrics.set("caller_connections_closed", &tags, count);
        }
    }

    fn update_host_gauges(&self) {
        let mut states: collections::BTreeMap<&str, u64> = ["live", "suspect", "leaving", "dead"]
            .map(|state| (state, 0))
            .into();
        for (_, state) in mutex::lock(&self.membership).entries() {
            *states.entry(transition::state_name(state)).or_default() += 1;
        }
        for (state, count) in states {
            self.metrics.set("hosts", &[("state", state)], count);
        }
    }
}
