use core::time;
use std::collections;

use base::{clock, mutex};
use rand::seq::IteratorRandom;

use crate::headers;
use crate::host;
use crate::registry;
use crate::snapshot;
use crate::stated;

/// Most states of endpoints in a periodic message.
const NEWS_MAX: usize = 8;

/// Time since the start of the process after which a host has heard of the others. After
/// eleven rounds of digests, 29 of 300 hosts took themselves for one of the first eleven
/// when a fifth of the messages was lost; in ten seconds there are 22 rounds.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(10);

impl host::Host {
    /// Records what the head of an answer says of how long the endpoint stays cold.
    pub(crate) fn record_cold(&self, now: time::Duration, head: &stated::Head<'_>) {
        let Some(text) = headers::text(head.headers, &self.options.headers.cold) else {
            return;
        };
        let left: Option<f64> = text.trim().parse().ok();
        let left = left.filter(|left| *left >= 0.0);
        let left = left.and_then(|ms| time::Duration::try_from_secs_f64(ms / 1_000.0).ok());
        let Some(left) = left else {
            self.metrics.count("cold_malformed", &[]);
            return;
        };
        let tag = mutex::lock(&self.balancer).record_cold(now, head.key, head.sent, left);
        self.publish_cold(now, tag);
    }

    /// Records that a connection to the endpoint was established.
    pub(crate) fn record_connected(&self, now: time::Duration, key: steer::Key) {
        let tag = {
            let mut balancer = mutex::lock(&self.balancer);
            balancer.mark_reachable(key);
            balancer.record_connected(now, key)
        };
        self.publish_cold(now, tag);
    }

    /// Records that a connection to the endpoint failed.
    pub(crate) fn record_unreachable(&self, now: time::Duration, key: steer::Key, refused: bool) {
        let tag = {
            let mut balancer = mutex::lock(&self.balancer);
            balancer.mark_unreachable(now, key);
            balancer.record_lost(now, key, refused)
        };
        self.publish_cold(now, tag);
    }

    /// Publishes the state of an endpoint at once if other hosts do not know it.
    fn publish_cold(&self, now: time::Duration, tag: Option<u32>) {
        let Some(tag) = tag else { return };
        self.share_limits(now);
        mutex::lock(&self.reports).colds.add(now, tag);
        self.crashed.notify_one();
    }

    /// Applies what another host knows of cold endpoints.
    pub(crate) fn apply_cold(&self, now: time::Duration, summaries: &[steer::cold::Summary]) {
        if !summaries.is_empty() && mutex::lock(&self.balancer).apply_cold(now, summaries) {
            self.share_limits(now);
        }
    }

    /// Returns some of the known states, for hosts that have missed a change.
    pub(crate) fn sample_cold(&self, now: time::Duration) -> Vec<steer::cold::Summary> {
        let summaries = mutex::lock(&self.balancer).cold_summaries(now);
        summaries
            .into_iter()
            .sample(&mut *mutex::lock(&self.rng), NEWS_MAX)
    }

    /// Returns what this host knows of the other hosts. One that has seeds and has heard of
    /// nobody may not be the only one.
    pub(crate) fn view(&self, now: time::Duration, membership: &fleet::Membership) -> steer::View {
        let own = self.options.peer_listen;
        let has_seeds = self.options.seeds.iter().any(|seed| *seed != own);
        let known = membership.entries().count();
        let is_alone = known <= 1 && has_seeds;
        steer::View {
            live: match is_alone {
                true => 0,
                false => membership.live().len(),
            },
            known,
            settled: match has_seeds || known > 1 {
                true => now.as_secs_f64() / SETTLE_TIME.as_secs_f64(),
                false => 1.0,
            },
        }
    }

    /// Marks endpoints as cold by a list and what their entries say.
    pub(crate) fn mark_listed(
        &self,
        registry: &registry::Registry,
        added: &collections::HashSet<&str>,
        is_first: bool,
    ) {
        let now = self.clock.now();
        let wall_ms = clock::Clock::wall_ms();
        let mut balancer = mutex::lock(&self.balancer);
        if !balancer.has_cold_settings() {
            return;
        }
        for endpoint in registry.endpoints() {
            let id = endpoint.id.as_str();
            let stated = registry.cold(id);
            if added.contains(id) {
                let is_known = (1..=wall_ms).contains(&endpoint.started_ms);
                let uptime = is_known.then(|| wall_ms - endpoint.started_ms);
                let listed = steer::cold::Listed {
                    stated,
                    uptime: uptime.map(time::Duration::from_millis),
                    is_first,
                };
                balancer.mark_listed(now, id, listed);
            } else if let Some(stated) = stated {
                balancer.state_cold(now, id, stated);
            }
        }
        drop(balancer);
        self.share_limits(now);
    }

    /// Returns what another host needs to know of cold endpoints, in the order of the list.
    pub(crate) fn cold_state(
        &self,
        now: time::Duration,
        registry: &registry::Registry,
    ) -> snapshot::Cold {
        let table = self.table.load();
        let services = table.iter().flat_map(|table| &table.plan().services);
        let settings = services.filter_map(|service| Some((service.name.clone(), service.cold?)));
        let settings: Vec<_> = settings.collect();
        if settings.is_empty() {
            return snapshot::Cold::default();
        }
        let endpoints = registry.endpoints();
        let entries = endpoints.iter().map(|endpoint| {
            let stated = registry.cold(&endpoint.id)?;
            let left = stated.until.saturating_sub(now).as_millis();
            let age = now.saturating_sub(stated.at).as_millis();
            Some((u32::try_from(left).ok()?, u32::try_from(age).ok()?))
        });
        snapshot::Cold {
            settings,
            entries: entries.collect(),
            summaries: mutex::lock(&self.balancer).cold_summaries(now),
        }
    }

    /// Counts a refusal for which no endpoint was compared, by the states that shut them.
    pub(crate) fn count_shut(&self, now: time::Duration, service: &str) {
        let (cold, evacuated) = {
            let balancer = mutex::lock(&self.balancer);
            let cold = balancer.bounded_count(now, service);
            (cold, balancer.evacuated_in(service))
        };
        for (cause, count) in [("cold", cold), ("evacuated", evacuated)] {
            if count > 0 {
                let tags = [("service", service), ("cause", cause)];
                self.metrics.count("refusals_shut", &tags);
            }
        }
    }
}
