use core::time;
use std::collections;

use super::entry::Entry;
use super::service::{Learned, Service};
use super::shrink::Spread;
use super::summary::{self, Summary};
use super::window;
use super::{Kind, Speed};
use crate::endpoint;
use crate::key;

/// Shortest time between two computations of the factors of a service. For 112 endpoints,
/// one took 0.3 ms in a build without optimisation, before endpoints were compared with
/// each other.
const REFRESH_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Weight of the observations of an endpoint at which it counts half in the mean of its
/// service.
const MEAN_WEIGHT: f32 = 0.5;

/// What this host knows of the speed of the endpoints of services that learn rates.
///
/// It holds nothing of other services. For 600 endpoints, it is about 1 MB: at
/// most 1,024 bytes of observations and 512 bytes of summaries for each.
#[derive(Debug, Default)]
pub(crate) struct Book {
    services: collections::HashMap<String, Service>,
    entries: slotmap::SecondaryMap<key::Key, Entry>,
    tags: rustc_hash::FxHashMap<u32, key::Key>,
}

impl Book {
    /// Replaces the services that learn rates. Services without engines do if one with
    /// engines does.
    pub(crate) fn set_services(&mut self, services: &[plan::Service]) {
        let learns =
            |service: &plan::Service| service.engine.is_some_and(|engine| engine.learns_rates());
        let learns_plain = services.iter().any(learns);
        let mut known = core::mem::take(&mut self.services);
        let learning = services
            .iter()
            .filter(|service| learns(service) || (learns_plain && service.engine.is_none()));
        self.services = learning
            .map(|service| {
                let mut learned = known.remove(&service.name).unwrap_or_default();
                let engine = service.engine;
                learned.event_tokens = engine.map_or(0, |engine| engine.event_tokens.max(1));
                (service.name.clone(), learned)
            })
            .collect();
    }

    /// Takes the listed endpoints. New ones, those that were leaving, and those with
    /// another build start from the median of their service.
    pub(crate) fn index(&mut self, endpoints: &slotmap::SlotMap<key::Key, endpoint::Endpoint>) {
        self.tags.clear();
        let mut before = core::mem::take(&mut self.entries);
        for (key, endpoint) in endpoints {
            let listed = &endpoint.listed;
            let Some(service) = self.services.get_mut(&listed.service) else {
                continue;
            };
            service.slots = service.slots.max(listed.slots);
            let tag = summary::tag(listed);
            let known = before.remove(key).filter(|known| {
                let returned =
                    known.phase == plan::Phase::Leaving && listed.phase == plan::Phase::Up;
                known.tag == tag && !returned
            });
            let mut entry = known.unwrap_or_else(|| Entry::new(listed, service.median));
            entry.phase = listed.phase;
            self.entries.insert(key, entry);
            self.tags.insert(tag, key);
        }
    }

    /// Returns the tokens of an event of a service that learns rates; 0 for one without
    /// engines.
    pub(crate) fn event_tokens(&self, service: &str) -> Option<u32> {
        self.services
            .get(service)
            .map(|service| service.event_tokens)
    }

    /// Returns what decisions read of a service that learns rates.
    pub(crate) fn learned(&self, service: &str) -> Option<Learned> {
        self.services.get(service).map(Service::learned)
    }

    /// Returns the logarithm of the factor of an endpoint; `None` if its service learns no
    /// rates.
    pub(crate) fn log(&self, key: key::Key) -> Option<f32> {
        self.entries.get(key).map(|entry| entry.log)
    }

    /// Takes what decisions read of a service.
    pub(crate) fn restore_service(&mut self, name: &str, learned: Learned) {
        self.services
            .insert(name.to_owned(), learned.into_service());
    }

    /// Takes the factor of an endpoint.
    pub(crate) fn restore(&mut self, key: key::Key, listed: &plan::Endpoint, log: f32) {
        self.entries.insert(key, Entry::new(listed, log));
    }

    pub(crate) fn speed(&self, service: &str) -> Option<Speed> {
        self.services.get(service).map(Service::speed)
    }

    pub(crate) fn step_ms(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(Service::step_ms)
    }

    pub(crate) fn output_token_ms(&self, service: &str) -> Option<f64> {
        let service = self.services.get(service)?;
        let slots = f64::from(service.slots.max(1));
        // Engines of which little is known are as fast as most.
        Some(service.step_ms() / f64::from(service.median).exp() / slots)
    }

    /// Returns the speed of an endpoint as a multiple of the usual one of its service.
    pub(crate) fn factor(&self, now: time::Duration, key: key::Key) -> f64 {
        let Some(entry) = self.entries.get(key) else {
            return 1.0;
        };
        let service = self.services.get(&entry.service);
        let refreshed = service.and_then(|service| service.refreshed);
        match refreshed.is_some_and(|at| now < at + window::LIFE) {
            true => f64::from(entry.log).exp(),
            false => 1.0,
        }
    }

    pub(crate) fn observe(&mut self, now: time::Duration, key: key::Key, kind: Kind, log: f32) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let Some(service) = self.services.get_mut(&entry.service) else {
            return;
        };
        service.observe(key, kind, log);
        entry.window.push(now, kind, log);
        let name = entry.service.clone();
        self.refresh(now, &name);
    }

    /// Computes the factors of the endpoints of a service unless that was done just now.
    fn refresh(&mut self, now: time::Duration, name: &str) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let is_recent = |at: time::Duration| now < at + REFRESH_PERIOD;
        if service.refreshed.is_some_and(is_recent) {
            return;
        }
        service.refreshed = Some(now);
        service.update_usual(|key| self.entries.get(key).map_or(0.0, |entry| entry.log));
        let of_service = |entry: &Entry| entry.service == name;
        let known: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| of_service(entry))
            .filter_map(|(key, entry)| Some((key, entry.sample(now, &service.usual)?)))
            .collect();
        let samples: Vec<_> = known.iter().map(|(_, sample)| *sample).collect();
        let spread = Spread::new(&samples, service.median);
        let known: Vec<_> = known
            .into_iter()
            .map(|(key, sample)| {
                let share = sample.weight / (sample.weight + MEAN_WEIGHT);
                (key, (spread.estimate(&sample), share))
            })
            .collect();
        // Observations leave open by how much all endpoints together are faster or slower
        // than the usual speed. All hosts choose the factors so that their mean is 1.
        let weights: f32 = known.iter().map(|(_, (_, weight))| weight).sum();
        let sum: f32 = known.iter().map(|(_, (log, weight))| log * weight).sum();
        let mean = sum / weights.max(f32::MIN_POSITIVE);
        let mut factors: Vec<_> = known
            .iter()
            .map(|(_, (log, weight))| (log - mean, *weight))
            .collect();
        service.median = window::median(&mut factors).map_or(0.0, |(log, _)| log);
        let median = service.median;
        for (_, entry) in self
            .entries
            .iter_mut()
            .filter(|(_, entry)| of_service(entry))
        {
            entry.log = median;
        }
        for (key, (log, _)) in known {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.log = log - mean;
            }
        }
    }

    /// Returns the summaries to publish, at most `count`.
    pub(crate) fn summaries(&mut self, now: time::Duration, count: usize) -> Vec<Summary> {
        let due = self.entries.iter();
        let mut due: Vec<_> = due
            .filter_map(|(key, entry)| Some((entry.due(now)?, key)))
            .collect();
        due.sort_unstable_by_key(|(published, _)| *published);
        due.truncate(count);
        due.into_iter()
            .filter_map(|(_, key)| {
                let entry = self.entries.get_mut(key)?;
                let service = self.services.get(&entry.service)?;
                entry.publish(now, &service.usual)
            })
            .collect()
    }

    /// Applies the summaries of another host.
    pub(crate) fn apply(&mut self, now: time::Duration, peer: u64, list: &[Summary]) {
        let mut services = collections::BTreeSet::new();
        for summary in list {
            let key = self.tags.get(&summary.tag);
            if let Some(entry) = key.and_then(|key| self.entries.get_mut(*key)) {
                entry.apply(now, peer, summary);
                services.insert(entry.service.clone());
            }
        }
        for service in services {
            self.refresh(now, &service);
        }
    }
}
