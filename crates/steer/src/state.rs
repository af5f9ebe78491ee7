use core::fmt;
use core::time;
use std::collections;

use crate::balancer;
use crate::brittle;
use crate::cache;
use crate::cold;
use crate::demand;
use crate::endpoint;
use crate::fault;
use crate::options;
use crate::pause;
use crate::quota;
use crate::rate;
use crate::recent;
use crate::report;
use crate::work;

/// Copy of what decides on one kind of request, for files.
///
/// A balancer that is restored from it explains a request with the same work for the same
/// service as the balancer that it was taken from. It knows prompt parts by their hashes,
/// and only those of the request. Numbers in files have to be read with all digits.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub struct State {
    options: options::Options,
    service: String,
    endpoints: Vec<Endpoint>,
    speed: Option<rate::Speed>,
    learned: Option<rate::Learned>,
    demand: Option<demand::Tracker>,
    kv_capacity: Option<f64>,
    weighs_prefix: bool,
    recent: recent::Recent,
    last_peer_update: Option<time::Duration>,
    brittle: Option<brittle::Statement>,
    evacuated: collections::BTreeSet<String>,
}

/// What decisions read of an endpoint.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
struct Endpoint {
    listed: plan::Endpoint,
    /// Version of the software, which `listed` leaves out.
    build: Option<String>,
    running: u32,
    prefill_tokens: u32,
    kv_tokens: u32,
    #[serde(with = "crate::ordered")]
    peers: rustc_hash::FxHashMap<u64, endpoint::PeerLoad>,
    #[serde(with = "crate::ordered")]
    sums: rustc_hash::FxHashMap<u64, endpoint::PeerLoad>,
    report: Option<(report::Report, time::Duration)>,
    fault: fault::Fault,
    /// Hashes of the shared parts of the request that are probably cached.
    cached: Vec<u64>,
    cache_tokens: u64,
    quota: quota::Quota,
    pause: pause::Pause,
    cold: cold::Cold,
    is_leaving: bool,
    /// Logarithm of the speed in proportion to the usual one of the service.
    speed_log: Option<f32>,
}

/// Why a state cannot be restored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Damage {
    /// An endpoint belongs to another service.
    Service(String),
    /// Two endpoints have the same id.
    Repeated(String),
    /// A speed is not one that can be observed.
    Speed,
}

impl fmt::Display for Damage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(id) => write!(formatter, "endpoint {id} belongs to another service"),
            Self::Repeated(id) => write!(formatter, "endpoint {id} appears twice"),
            Self::Speed => formatter.write_str("a speed is out of range"),
        }
    }
}

impl core::error::Error for Damage {}

impl balancer::Balancer {
    /// Returns a copy of what decides on requests with this work for a service.
    pub fn state(&self, service: &str, work: &work::Work) -> State {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let endpoints = keys.iter().map(|key| {
            let endpoint = &self.endpoints[*key];
            let (cached, cache_tokens) = endpoint.cache.held(work.shared());
            Endpoint {
                build: endpoint.listed.build.clone(),
                listed: endpoint.listed.clone(),
                running: endpoint.running,
                prefill_tokens: endpoint.prefill_tokens,
                kv_tokens: endpoint.kv_tokens,
                peers: endpoint.peers.clone(),
                sums: endpoint.sums.clone(),
                report: endpoint.report,
                fault: endpoint.fault.clone(),
                cached,
                cache_tokens,
                quota: endpoint.quota,
                pause: endpoint.pause,
                cold: endpoint.cold,
                is_leaving: endpoint.is_leaving,
                speed_log: self.rates.log(*key),
            }
        });
        let recent = self.recent.as_deref();
        State {
            options: self.options.clone(),
            service: service.to_owned(),
            endpoints: endpoints.collect(),
            speed: self.speeds.get(service).copied(),
            learned: self.rates.learned(service),
            demand: self.demands.get(service).cloned(),
            kv_capacity: self.kv_capacities.get(service).copied(),
            weighs_prefix: self.weighs_prefix(service),
            recent: recent
                .map_or_else(recent::Recent::default, |recent| recent.of_service(service)),
            last_peer_update: self.last_peer_update,
            brittle: self.brittle.get(service).copied(),
            evacuated: self.evacuated.clone(),
        }
    }
}

impl State {
    /// Returns a balancer that explains requests of the service as the one that the state
    /// was taken from. It is not meant to serve requests.
    ///
    /// # Errors
    ///
    /// Fails if the state contradicts itself or a speed is out of range.
    pub fn restore(self) -> Result<balancer::Balancer, Damage> {
        let is_plausible = self.speed.is_none_or(|speed| speed.is_plausible())
            && self
                .learned
                .as_ref()
                .is_none_or(rate::Learned::is_plausible);
        if !is_plausible {
            return Err(Damage::Speed);
        }
        let mut balancer = balancer::Balancer::new(self.options);
        let service = self.service;
        if let Some(learned) = self.learned {
            balancer.rates.restore_service(&service, learned);
        }
        balancer
            .speeds
            .extend(self.speed.map(|speed| (service.clone(), speed)));
        balancer
            .demands
            .extend(self.demand.map(|demand| (service.clone(), demand)));
        balancer
            .kv_capacities
            .extend(self.kv_capacity.map(|tokens| (service.clone(), tokens)));
        balancer
            .weighing
            .extend(self.weighs_prefix.then(|| service.clone()));
        balancer
            .brittle
            .extend(self.brittle.map(|statement| (service.clone(), statement)));
        balancer.recent = Some(Box::new(self.recent));
        balancer.last_peer_update = self.last_peer_update;
        balancer.evacuated = self.evacuated;
        for endpoint in self.endpoints {
            endpoint.restore(&mut balancer, &service)?;
        }
        Ok(balancer)
    }
}

impl Endpoint {
    /// Adds the endpoint after those of before, so that the order stays the same.
    fn restore(self, balancer: &mut balancer::Balancer, service: &str) -> Result<(), Damage> {
        let mut listed = self.listed;
        listed.build = self.build;
        if listed.service != service {
            return Err(Damage::Service(listed.id));
        }
        if !self.speed_log.is_none_or(rate::is_plausible_log) {
            return Err(Damage::Speed);
        }
        let endpoint = endpoint::Endpoint {
            running: self.running,
            prefill_tokens: self.prefill_tokens,
            kv_tokens: self.kv_tokens,
            peers: self.peers,
            sums: self.sums,
            report: self.report,
            fault: self.fault,
            cache: cache::Cache::holding(self.cached, self.cache_tokens),
            quota: self.quota,
            pause: self.pause,
            cold: self.cold,
            is_leaving: self.is_leaving,
            ..endpoint::Endpoint::new(listed)
        };
        let tag = endpoint.tag;
        if balancer.tags.contains_key(&tag) {
            return Err(Damage::Repeated(endpoint.listed.id));
        }
        let key = balancer.endpoints.insert(endpoint);
        balancer.tags.insert(tag, key);
        balancer
            .services
            .entry(service.to_owned())
            .or_default()
            .push(key);
        if let Some(log) = self.speed_log {
            balancer
                .rates
                .restore(key, &balancer.endpoints[key].listed, log);
        }
        Ok(())
    }
}
