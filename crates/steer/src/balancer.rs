use core::time;
use std::collections;

use crate::brittle;
use crate::change;
use crate::demand;
use crate::departed;
use crate::end;
use crate::endpoint;
use crate::key;
use crate::options;
use crate::pick;
use crate::placement;
use crate::rate;
use crate::reach;
use crate::recent;
use crate::report;
use crate::run;
use crate::sum;
use crate::work;

/// Bounds of one observation of the prefill speed. A single answer may have
/// been cached or delayed and is a weak signal.
const PREFILL_TOKENS_PER_MS_RANGE: (f64, f64) = (10.0, 90.0);

/// Engine time of one output token in milliseconds, divided among the requests
/// of a typical batch, at services that do not weigh prefixes.
const OUTPUT_TOKEN_MS: f64 = 0.3;

/// Weight of one observation in the moving averages of [`rate::Speed`].
const OBSERVATION_WEIGHT: f64 = 0.05;

/// Fewest prompt tokens of a request from which the prefill speed is estimated.
const OBSERVED_TOKENS_MIN: u32 = 1_000;

/// Upper bound in milliseconds of one observation of the time of a request
/// without a prompt.
const PLAIN_MS_MAX: f64 = 1_000.0;

/// The endpoints of all services with the state that one host keeps to balance
/// requests over them.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) options: options::Options,
    pub(crate) endpoints: slotmap::SlotMap<key::Key, endpoint::Endpoint>,
    pub(crate) services: collections::HashMap<String, Vec<key::Key>>,
    pub(crate) speeds: collections::HashMap<String, rate::Speed>,
    pub(crate) demands: collections::HashMap<String, demand::Tracker>,
    /// KV cache capacity of one engine in tokens, by service.
    pub(crate) kv_capacities: collections::HashMap<String, f64>,
    /// Services that weigh cached prefixes against the wait.
    pub(crate) weighing: collections::HashSet<String>,
    /// What decisions keep for later ones.
    pub(crate) recent: Option<Box<recent::Recent>>,
    /// When loads of another host were last received.
    pub(crate) last_peer_update: Option<time::Duration>,
    /// The last accepted sum of each other data centre, by the hash of its name.
    pub(crate) sums: rustc_hash::FxHashMap<u64, sum::Latest>,
    placements: placement::Placements,
    departed: departed::Departed,
    /// Services whose endpoints said whether they fall over if they have to refuse
    /// requests.
    pub(crate) brittle: collections::HashMap<String, brittle::Statement>,
    /// How cold endpoints take requests, by service.
    pub(crate) colds: collections::HashMap<String, plan::Cold>,
    /// Data centres whose endpoints get no requests.
    pub(crate) evacuated: collections::BTreeSet<String>,
    /// Since when each of them has been evacuated.
    pub(crate) evacuated_since: collections::BTreeMap<String, time::Duration>,
    /// Number of hosts, also of those that may be cut off.
    pub(crate) hosts: usize,
    /// Which of all endpoints this host reaches.
    pub(crate) reach: reach::Reach,
    /// Which endpoints of each service this host reaches.
    pub(crate) service_reach: collections::HashMap<String, reach::Reach>,
    pub(crate) tags: rustc_hash::FxHashMap<u32, key::Key>,
    /// Learned rates of endpoints.
    pub(crate) rates: rate::Book,
}

impl Balancer {
    /// Returns a balancer without endpoints.
    pub fn new(options: options::Options) -> Self {
        Self {
            options,
            endpoints: slotmap::SlotMap::with_key(),
            services: collections::HashMap::new(),
            speeds: collections::HashMap::new(),
            demands: collections::HashMap::new(),
            kv_capacities: collections::HashMap::new(),
            weighing: collections::HashSet::new(),
            recent: None,
            last_peer_update: None,
            sums: rustc_hash::FxHashMap::default(),
            placements: placement::Placements::default(),
            departed: departed::Departed::default(),
            brittle: collections::HashMap::new(),
            colds: collections::HashMap::new(),
            evacuated: collections::BTreeSet::new(),
            evacuated_since: collections::BTreeMap::new(),
            hosts: 1,
            reach: reach::Reach::default(),
            service_reach: collections::HashMap::new(),
            tags: rustc_hash::FxHashMap::default(),
            rates: rate::Book::default(),
        }
    }

    /// Replaces the configuration of the services.
    pub fn set_services(&mut self, services: &[plan::Service]) {
        self.set_cold_settings(services);
        self.kv_capacities = services
            .iter()
            .filter_map(|service| {
                let engine = service.engine?;
                Some((service.name.clone(), engine.kv_capacity_tokens as f64))
            })
            .collect();
        self.rates.set_services(services);
        self.rates.index(&self.endpoints);
        let weighing = services.iter().filter(|service| {
            let engine = service.engine;
            engine.is_some_and(|engine| engine.weighs_prefix())
        });
        self.weighing = weighing.map(|service| service.name.clone()).collect();
    }

    /// Replaces the list of endpoints and returns the changes.
    ///
    /// An entry with a known id but another service, address or start time is a
    /// new process: it replaces the old one and starts without state.
    pub fn replace(&mut self, list: &[plan::Endpoint]) -> Vec<change::Change> {
        let mut changes = Vec::new();
        let listed: collections::HashMap<&str, &plan::Endpoint> = list
            .iter()
            .map(|endpoint| (endpoint.id.as_str(), endpoint))
            .collect();
        let departed = &mut self.departed;
        let mut removed = Vec::new();
        self.endpoints.retain(|key, known| {
            let stays = listed
                .get(known.listed.id.as_str())
                .is_some_and(|endpoint| is_same_process(&known.listed, endpoint));
            if !stays {
                changes.push(change::Change::Removed(known.listed.id.clone()));
                departed.keep(known);
                removed.push(key);
            }
            stays
        });
        for key in removed {
            self.forget_reach(key);
        }
        self.index();
        for endpoint in list {
            changes.extend(self.put(endpoint));
        }
        self.index();
        changes
    }

    fn put(&mut self, listed: &plan::Endpoint) -> Option<change::Change> {
        let tag = endpoint::tag(&listed.id);
        let known = self.tags.get(&tag).copied();
        if let Some(known) = known.and_then(|key| self.endpoints.get_mut(key)) {
            let before = known.listed.phase;
            known.listed = listed.clone();
            known.build = listed.build();
            return match (before, listed.phase) {
                (plan::Phase::Up, plan::Phase::Leaving) => {
                    Some(change::Change::Leaving(listed.id.clone()))
                }
                (plan::Phase::Leaving, plan::Phase::Up) => {
                    known.is_leaving = false;
                    Some(change::Change::Returned(listed.id.clone()))
                }
                _ => None,
            };
        }
        let mut endpoint = endpoint::Endpoint::new(listed.clone());
        self.departed.restore(&mut endpoint);
        let key = self.endpoints.insert(endpoint);
        self.tags.insert(tag, key);
        Some(change::Change::Added(listed.id.clone()))
    }

    fn index(&mut self) {
        self.tags.clear();
        if let Some(recent) = &mut self.recent {
            recent.rankings.clear();
        }
        self.services.clear();
        for (key, endpoint) in &self.endpoints {
            self.tags.insert(endpoint.tag, key);
            let service = endpoint.listed.service.clone();
            self.services.entry(service).or_default().push(key);
        }
        self.rates.index(&self.endpoints);
    }

    /// Returns the endpoint whose id has this hash.
    pub(crate) fn tagged(&mut self, tag: u32) -> Option<&mut endpoint::Endpoint> {
        let key = self.tags.get(&tag)?;
        self.endpoints.get_mut(*key)
    }

    /// Returns the number of listed endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Records that a request is sent to the selected endpoint.
    pub fn start(&mut self, now: time::Duration, pick: &pick::Pick, work: &work::Work) -> run::Run {
        let mut run = run::Run {
            key: pick.key,
            prefill_tokens: pick.prefill_tokens,
            kv_tokens: work.kv_tokens(),
            has_begun: false,
            sent: now,
            ahead_tokens: 0,
            learning: self.learning(now, pick, work),
        };
        if let Some(endpoint) = self.endpoints.get_mut(pick.key) {
            run.ahead_tokens = endpoint.total(now, &self.options).prefill_tokens as u32;
            endpoint.running += 1;
            endpoint.quota.take(now);
            endpoint.pause.take(now);
            endpoint.cold.choose(now);
            endpoint.prefill_tokens = endpoint.prefill_tokens.saturating_add(pick.prefill_tokens);
            endpoint.kv_tokens = endpoint.kv_tokens.saturating_add(run.kv_tokens);
            let room = cache_room(&self.kv_capacities, endpoint);
            for part in work.shared() {
                endpoint.cache.record(now, *part, room);
            }
            if let Some(part) = work.placement() {
                self.placements.record(now, part, endpoint.tag);
            }
            let service = endpoint.listed.service.clone();
            self.record_demand(now, &service, work, pick.prefill_tokens);
        }
        run
    }

    /// Records the engine time that a request needs, whether it was sent or refused.
    pub(crate) fn record_demand(
        &mut self,
        now: time::Duration,
        service: &str,
        work: &work::Work,
        prefill_tokens: u32,
    ) {
        if work.prompt_tokens == 0 {
            return;
        }
        let speed = self.service_speed(service);
        let token_ms = self.token_ms(service).unwrap_or(OUTPUT_TOKEN_MS);
        let engine_ms = f64::from(prefill_tokens) / speed.tokens_per_ms
            + f64::from(work.expected_output()) * token_ms;
        if !self.demands.contains_key(service) {
            self.demands
                .insert(service.to_owned(), demand::Tracker::default());
        }
        if let Some(demand) = self.demands.get_mut(service) {
            demand.record(now, engine_ms, work.is_bulk());
        }
    }

    /// Records the first event of a stream, or the head of another answer.
    /// Further calls for the same run have no effect.
    pub fn record_first_event(&mut self, now: time::Duration, run: &mut run::Run) {
        if run.has_begun {
            return;
        }
        run.has_begun = true;
        self.learn_first_event(now, run);
        let Some(endpoint) = self.endpoints.get_mut(run.key) else {
            return;
        };
        endpoint.prefill_tokens = endpoint.prefill_tokens.saturating_sub(run.prefill_tokens);
        let took_ms = now.saturating_sub(run.sent).as_secs_f64() * 1_000.0;
        let speed = self
            .speeds
            .entry(endpoint.listed.service.clone())
            .or_default();
        if run.prefill_tokens >= OBSERVED_TOKENS_MIN && took_ms > 0.0 {
            let tokens = f64::from(run.prefill_tokens) + f64::from(run.ahead_tokens) * 0.5;
            let rate = (tokens / took_ms)
                .clamp(PREFILL_TOKENS_PER_MS_RANGE.0, PREFILL_TOKENS_PER_MS_RANGE.1);
            speed.tokens_per_ms += (rate - speed.tokens_per_ms) * OBSERVATION_WEIGHT;
        } else if run.prefill_tokens == 0 {
            let took = took_ms.min(PLAIN_MS_MAX);
            speed.plain_ms += (took - speed.plain_ms) * OBSERVATION_WEIGHT;
        }
    }

    /// Records the end of a run and releases the load that it was counted with.
    pub fn finish(&mut self, now: time::Duration, run: run::Run, end: end::End) {
        let known = self.endpoints.get(run.key);
        let pause = known.and_then(|endpoint| {
            let is_brittle = self.is_brittle(now, &endpoint.listed.service);
            is_brittle.then(|| self.declined_pause(endpoint))
        });
        let Some(endpoint) = self.endpoints.get_mut(run.key) else {
            return;
        };
        endpoint.running = endpoint.running.saturating_sub(1);
        endpoint.kv_tokens = endpoint.kv_tokens.saturating_sub(run.kv_tokens);
        if !run.has_begun {
            endpoint.prefill_tokens = endpoint.prefill_tokens.saturating_sub(run.prefill_tokens);
        }
        match end {
            end::End::Served => endpoint.fault.record(now, false),
            end::End::Failed | end::End::Lost => endpoint.fault.record(now, true),
            end::End::Misdirected => endpoint.fault.mark_unreachable(now),
            // The failed connection may have been recorded when it failed.
            end::End::Unreachable if endpoint.fault.is_down(now) => {}
            end::End::Unreachable => endpoint.fault.mark_unreachable(now),
            end::End::Full | end::End::Declined => endpoint.fault.mark_full(now, pause),
            end::End::Cancelled => {}
        }
    }

    /// Records the load that an endpoint reported with an answer to this host.
    pub fn record_report(&mut self, now: time::Duration, key: key::Key, report: report::Report) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint
                .gateway
                .record_report(now, endpoint.running, report);
            endpoint.report = Some((report, now));
            endpoint.is_report_own = true;
        }
    }

    /// Returns the recent placements of this host, for publication.
    pub fn placements(&self, now: time::Duration) -> Vec<placement::Placement> {
        self.placements.recent(now)
    }

    /// Returns a random sample of the recent placements of all hosts of the own
    /// data centre, for publication to hosts of other data centres.
    pub fn sample_placements(
        &self,
        now: time::Duration,
        rng: &mut impl rand::Rng,
    ) -> Vec<placement::Placement> {
        self.placements.sample(now, rng)
    }

    /// Stores placements of another host of the own data centre, to pass them on
    /// to hosts of other data centres.
    pub fn relay_placements(&mut self, now: time::Duration, placements: &[placement::Placement]) {
        for placement in placements {
            self.placements.relay(now, *placement);
        }
    }

    /// Applies placements that another host published: the endpoints probably
    /// have these parts in their prefix cache.
    pub fn apply_placements(&mut self, now: time::Duration, placements: &[placement::Placement]) {
        for placement in placements {
            let key = self.tags.get(&placement.endpoint);
            let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(*key)) else {
                continue;
            };
            let part = work::Part {
                id: placement.part,
                tokens: placement.tokens,
            };
            let room = cache_room(&self.kv_capacities, endpoint);
            endpoint.cache.record(now, part, room);
        }
    }
}

/// Returns the KV cache capacity in tokens that remains for cached prompt parts.
fn cache_room(
    kv_capacities: &collections::HashMap<String, f64>,
    endpoint: &endpoint::Endpoint,
) -> f64 {
    kv_capacities
        .get(&endpoint.listed.service)
        .map_or(f64::INFINITY, |kv_capacity| {
            (kv_capacity - f64::from(endpoint.kv_tokens)).max(0.0)
        })
}

/// Returns whether both entries describe the same process.
pub(crate) fn is_same_process(known: &plan::Endpoint, listed: &plan::Endpoint) -> bool {
    known.service == listed.service
        && known.address == listed.address
        && known.started_ms == listed.started_ms
}
