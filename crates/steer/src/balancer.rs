use core::time;
use std::collections;

use crate::change;
use crate::demand;
use crate::end;
use crate::endpoint;
use crate::key;
use crate::options;
use crate::pick;
use crate::placement;
use crate::report;
use crate::run;
use crate::sum;
use crate::work;

/// Prompt tokens that an engine reads in a millisecond until it has shown its
/// own speed.
const READ_RATE: f64 = 45.0;

/// Bounds of the learned speed; one answer that was cached or held up says
/// little.
const READ_RATE_RANGE: (f64, f64) = (10.0, 90.0);

/// Engine time of one token of an answer in milliseconds, shared with the
/// other requests of a usual batch.
const OUTPUT_MS: f64 = 0.3;

/// Weight of one observation in the learned speed.
const READ_RATE_STEP: f64 = 0.05;

/// Least prompt tokens of an observation of the speed.
const OBSERVED_TOKENS_MIN: u32 = 1_000;

/// Upper bound of the mean time of plain work that is learned, in
/// milliseconds.
const PLAIN_MS_MAX: f64 = 1_000.0;

/// Mean time of plain work in milliseconds until it is learned.
const PLAIN_MS: f64 = 60.0;

/// What is learned of all endpoints of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub(crate) tokens_per_ms: f64,
    pub(crate) plain_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            tokens_per_ms: READ_RATE,
            plain_ms: PLAIN_MS,
        }
    }
}

/// The endpoints of all services, as one host sees them.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) options: options::Options,
    pub(crate) endpoints: slotmap::SlotMap<key::Key, endpoint::Endpoint>,
    pub(crate) services: collections::HashMap<String, Vec<key::Key>>,
    pub(crate) paces: collections::HashMap<String, Pace>,
    pub(crate) demands: collections::HashMap<String, demand::Tracker>,
    /// Tokens that an engine of a service holds in memory.
    pub(crate) memories: collections::HashMap<String, f64>,
    /// When another host was heard last.
    pub(crate) heard: Option<time::Duration>,
    /// The sum of each other data centre that was heard last.
    pub(crate) sums: rustc_hash::FxHashMap<u64, sum::Heard>,
    placements: placement::Placements,
    tags: rustc_hash::FxHashMap<u32, key::Key>,
}

impl Balancer {
    /// Returns a fleet without endpoints.
    pub fn new(options: options::Options) -> Self {
        Self {
            options,
            endpoints: slotmap::SlotMap::with_key(),
            services: collections::HashMap::new(),
            paces: collections::HashMap::new(),
            demands: collections::HashMap::new(),
            memories: collections::HashMap::new(),
            heard: None,
            sums: rustc_hash::FxHashMap::default(),
            placements: placement::Placements::default(),
            tags: rustc_hash::FxHashMap::default(),
        }
    }

    /// Takes what is published about the services.
    pub fn set_services(&mut self, services: &[plan::Service]) {
        self.memories = services
            .iter()
            .filter_map(|service| {
                let engine = service.engine?;
                Some((service.name.clone(), engine.kv_capacity_tokens as f64))
            })
            .collect();
    }

    /// Takes the list of endpoints and returns what changed.
    ///
    /// A lifetime with the id of an earlier one replaces it.
    pub fn replace(&mut self, list: &[plan::Endpoint]) -> Vec<change::Change> {
        let mut changes = Vec::new();
        let listed: collections::HashMap<&str, &plan::Endpoint> = list
            .iter()
            .map(|endpoint| (endpoint.id.as_str(), endpoint))
            .collect();
        self.endpoints.retain(|_, known| {
            let stays = listed
                .get(known.listed.id.as_str())
                .is_some_and(|endpoint| is_same_lifetime(&known.listed, endpoint));
            if !stays {
                changes.push(change::Change::Removed(known.listed.id.clone()));
            }
            stays
        });
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
            return match (before, listed.phase) {
                (plan::Phase::Up, plan::Phase::Leaving) => {
                    Some(change::Change::Leaving(listed.id.clone()))
                }
                (plan::Phase::Leaving, plan::Phase::Up) => {
                    Some(change::Change::Returned(listed.id.clone()))
                }
                _ => None,
            };
        }
        let key = self
            .endpoints
            .insert(endpoint::Endpoint::new(listed.clone()));
        self.tags.insert(tag, key);
        Some(change::Change::Added(listed.id.clone()))
    }

    fn index(&mut self) {
        self.tags.clear();
        self.services.clear();
        for (key, endpoint) in &self.endpoints {
            self.tags.insert(endpoint.tag, key);
            let service = endpoint.listed.service.clone();
            self.services.entry(service).or_default().push(key);
        }
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

    /// Returns whether new work may still go to the endpoint.
    pub fn is_accepting(&self, key: key::Key) -> bool {
        self.endpoints
            .get(key)
            .is_some_and(|endpoint| endpoint.listed.phase == plan::Phase::Up)
    }

    /// Notes that a request is sent to the picked endpoint.
    pub fn start(&mut self, now: time::Duration, pick: &pick::Pick, work: &work::Work) -> run::Run {
        let mut run = run::Run {
            key: pick.key,
            prefill_tokens: pick.prefill_tokens,
            kv_tokens: work.kv_tokens(),
            has_begun: false,
            sent: now,
            ahead_tokens: 0,
        };
        if let Some(endpoint) = self.endpoints.get_mut(pick.key) {
            run.ahead_tokens = endpoint.total(now, &self.options).prefill_tokens as u32;
            endpoint.running += 1;
            endpoint.prefill_tokens = endpoint.prefill_tokens.saturating_add(pick.prefill_tokens);
            endpoint.kv_tokens = endpoint.kv_tokens.saturating_add(run.kv_tokens);
            let room = room(&self.memories, endpoint);
            for part in work.shared() {
                endpoint.cache.note(now, *part, room);
            }
            if let Some(part) = work.placement() {
                self.placements.note(now, part, endpoint.tag);
            }
            if work.prompt_tokens > 0 {
                let service = endpoint.listed.service.as_str();
                let rate = self.paces.get(service).copied().unwrap_or_default();
                let engine_ms = f64::from(pick.prefill_tokens) / rate.tokens_per_ms
                    + f64::from(work.expected_output()) * OUTPUT_MS;
                if !self.demands.contains_key(service) {
                    self.demands
                        .insert(service.to_owned(), demand::Tracker::default());
                }
                if let Some(demand) = self.demands.get_mut(service) {
                    demand.note(now, engine_ms, work.is_bulk());
                }
            }
        }
        run
    }

    /// Notes that a connection to the endpoint was established.
    pub fn mark_reachable(&mut self, key: key::Key) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.fault.reached();
        }
    }

    /// Notes that the endpoint could not be reached.
    pub fn mark_unreachable(&mut self, now: time::Duration, key: key::Key) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.fault.unreachable(now);
        }
    }

    /// Notes the first event or the head of a plain answer.
    pub fn record_first_event(&mut self, now: time::Duration, run: &mut run::Run) {
        if run.has_begun {
            return;
        }
        run.has_begun = true;
        let Some(endpoint) = self.endpoints.get_mut(run.key) else {
            return;
        };
        endpoint.prefill_tokens = endpoint.prefill_tokens.saturating_sub(run.prefill_tokens);
        let took_ms = now.saturating_sub(run.sent).as_secs_f64() * 1_000.0;
        let pace = self
            .paces
            .entry(endpoint.listed.service.clone())
            .or_default();
        if run.prefill_tokens >= OBSERVED_TOKENS_MIN && took_ms > 0.0 {
            let tokens = f64::from(run.prefill_tokens) + f64::from(run.ahead_tokens) * 0.5;
            let rate = (tokens / took_ms).clamp(READ_RATE_RANGE.0, READ_RATE_RANGE.1);
            pace.tokens_per_ms += (rate - pace.tokens_per_ms) * READ_RATE_STEP;
        } else if run.prefill_tokens == 0 {
            let took = took_ms.min(PLAIN_MS_MAX);
            pace.plain_ms += (took - pace.plain_ms) * READ_RATE_STEP;
        }
    }

    /// Notes the end of a run.
    pub fn finish(&mut self, now: time::Duration, run: run::Run, end: end::End) {
        let Some(endpoint) = self.endpoints.get_mut(run.key) else {
            return;
        };
        endpoint.running = endpoint.running.saturating_sub(1);
        endpoint.kv_tokens = endpoint.kv_tokens.saturating_sub(run.kv_tokens);
        if !run.has_begun {
            endpoint.prefill_tokens = endpoint.prefill_tokens.saturating_sub(run.prefill_tokens);
        }
        match end {
            end::End::Served => endpoint.fault.note(now, false),
            end::End::Failed | end::End::Lost => endpoint.fault.note(now, true),
            end::End::Unreachable | end::End::Misdirected => endpoint.fault.unreachable(now),
            end::End::Full => endpoint.fault.full(now),
            end::End::Cancelled => {}
        }
    }

    /// Takes an endpoint's word on its load.
    pub fn record_report(&mut self, now: time::Duration, key: key::Key, report: report::Report) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.report = Some((report, now));
            endpoint.is_report_own = true;
        }
    }

    /// Returns the newest placements of prompts to tell other hosts.
    pub fn placements(&self, now: time::Duration) -> Vec<placement::Placement> {
        self.placements.tell(now)
    }

    /// Returns placements of hosts of the own data centre, for those of others.
    pub fn sample_placements(
        &self,
        now: time::Duration,
        rng: &mut impl rand::Rng,
    ) -> Vec<placement::Placement> {
        self.placements.tell_near(now, rng)
    }

    /// Keeps placements of another host of the own data centre for hosts of
    /// other data centres.
    pub fn relay_placements(&mut self, now: time::Duration, placements: &[placement::Placement]) {
        for placement in placements {
            self.placements.relay(now, *placement);
        }
    }

    /// Takes the newest placements of another host.
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
            let room = room(&self.memories, endpoint);
            endpoint.cache.note(now, part, room);
        }
    }
}

/// Returns the tokens of memory that cached parts may take.
fn room(memories: &collections::HashMap<String, f64>, endpoint: &endpoint::Endpoint) -> f64 {
    memories
        .get(&endpoint.listed.service)
        .map_or(f64::INFINITY, |memory| {
            (memory - f64::from(endpoint.kv_tokens)).max(0.0)
        })
}

/// Returns whether both entries describe one lifetime of an endpoint.
fn is_same_lifetime(known: &plan::Endpoint, listed: &plan::Endpoint) -> bool {
    known.service == listed.service
        && known.address == listed.address
        && known.started_ms == listed.started_ms
}
