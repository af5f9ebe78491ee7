use core::time;
use std::collections;

use rand::{RngExt, SeedableRng};

use crate::candidate;
use crate::endpoint;
use crate::health;
use crate::latency;
use crate::options;
use crate::outcome;
use crate::report;
use crate::request;
use crate::run;
use crate::spec;

/// Endpoints of one shard and the requests that hold slots there.
///
/// A slot is room for one concurrent request at an endpoint. Own requests are
/// those that this table granted; foreign requests are others that an endpoint
/// reports.
#[derive(Debug)]
pub struct Table {
    pub(crate) options: options::Options,
    pub(crate) endpoints: slotmap::SlotMap<endpoint::Key, endpoint::Endpoint>,
    pub(crate) runs: slotmap::SlotMap<run::Key, run::Run>,
    /// Endpoints by identifier.
    pub(crate) index: rustc_hash::FxHashMap<u32, endpoint::Key>,
    /// Data of the endpoints that the choice scans.
    pub(crate) candidates: Vec<candidate::Candidate>,
    /// Number of endpoints with room, for each kind of request.
    pub(crate) open_endpoints: [usize; request::Need::COUNT],
    /// Concurrency limit for own requests, over all endpoints.
    pub(crate) own_limit: u32,
    /// Slots expected once pauses and probes are over, over all endpoints.
    pub(crate) nominal_slots: f64,
    /// Number of running long requests.
    pub(crate) long: u32,
    /// Endpoint at which each prefix ran last.
    pub(crate) prefixes: rustc_hash::FxHashMap<u64, endpoint::Key>,
    /// Prefixes in the order of eviction.
    pub(crate) prefix_order: collections::VecDeque<u64>,
    /// Time to first token of each class, in seconds.
    pub(crate) first_latencies: Vec<latency::Latency>,
    /// Time between tokens of each class, in seconds.
    pub(crate) gap_latencies: Vec<latency::Latency>,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) last_update: time::Duration,
}

impl Table {
    /// Returns a table without endpoints.
    pub fn new(options: options::Options) -> Self {
        Self {
            options,
            endpoints: slotmap::SlotMap::with_key(),
            runs: slotmap::SlotMap::with_key(),
            index: rustc_hash::FxHashMap::default(),
            candidates: Vec::new(),
            open_endpoints: [0; request::Need::COUNT],
            own_limit: 0,
            nominal_slots: 0.0,
            long: 0,
            prefixes: rustc_hash::FxHashMap::default(),
            prefix_order: collections::VecDeque::new(),
            first_latencies: Vec::new(),
            gap_latencies: Vec::new(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(options.seed),
            last_update: time::Duration::ZERO,
        }
    }

    /// Replaces the settings; the seed has an effect only in [`Table::new`].
    pub fn configure(&mut self, options: options::Options) {
        self.options = options;
        self.refresh_all();
    }

    /// Replaces the list of endpoints.
    ///
    /// An endpoint that is no longer listed gets no new requests and is removed
    /// when its own requests have ended.
    pub fn set_endpoints(&mut self, now: time::Duration, list: &[spec::Spec]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_listed = false;
        }
        for &spec in list {
            match self.index.get(&spec.id) {
                Some(&key) => {
                    let endpoint = &mut self.endpoints[key];
                    let has_grown = spec.slots > endpoint.spec.slots;
                    endpoint.spec = spec;
                    endpoint.is_listed = true;
                    if has_grown {
                        endpoint.limit.raise(endpoint.slots());
                    }
                }
                None => self.add(now, spec),
            }
        }
        let removed = self.endpoints.iter();
        let removed: Vec<_> = removed
            .filter(|(_, endpoint)| !endpoint.is_listed && endpoint.own == 0)
            .map(|(key, _)| key)
            .collect();
        removed.into_iter().for_each(|key| self.remove(key));
        self.refresh_all();
    }

    fn add(&mut self, now: time::Duration, spec: spec::Spec) {
        let mut endpoint = endpoint::Endpoint::new(now, spec);
        endpoint.candidate_index = self.candidates.len();
        let key = self.endpoints.insert(endpoint);
        self.index.insert(spec.id, key);
        self.candidates.push(candidate::Candidate {
            key,
            open_kinds: 0,
            load: 0.0,
            capacity: 1.0,
        });
    }

    fn remove(&mut self, key: endpoint::Key) {
        self.refresh(key);
        let Some(endpoint) = self.endpoints.remove(key) else {
            return;
        };
        self.own_limit -= endpoint.own_limit;
        self.nominal_slots -= endpoint.nominal_slots;
        self.index.remove(&endpoint.spec.id);
        self.candidates.swap_remove(endpoint.candidate_index);
        if let Some(moved) = self.candidates.get(endpoint.candidate_index) {
            self.endpoints[moved.key].candidate_index = endpoint.candidate_index;
        }
    }

    /// Gives a slot of the endpoint to a request.
    pub(crate) fn assign(
        &mut self,
        now: time::Duration,
        key: endpoint::Key,
        request: request::Request,
    ) -> run::Key {
        let endpoint = &mut self.endpoints[key];
        endpoint.own += 1;
        endpoint.long += u32::from(request.need.is_long);
        endpoint.suspects += u32::from(request.need.is_suspect);
        endpoint.history.record(now, endpoint.own);
        if endpoint.own >= endpoint.own_limit {
            endpoint.limit.record_saturation();
        }
        endpoint.speed.record_sent();
        self.long += u32::from(request.need.is_long);
        self.record_prefix(request.prefix_hash, key);
        self.refresh(key);
        self.runs.insert(run::Run {
            endpoint: key,
            request,
            granted_at: now,
            first_output_at: None,
            is_long: request.need.is_long,
            is_late: false,
        })
    }

    /// Returns the identifier of the endpoint of a run; `None` if the run has
    /// ended.
    pub fn endpoint(&self, key: run::Key) -> Option<u32> {
        let run = self.runs.get(key)?;
        Some(self.endpoints.get(run.endpoint)?.spec.id)
    }

    /// Records the first output of a run. Later calls for the same run have no
    /// effect.
    pub fn record_first_output(&mut self, now: time::Duration, key: run::Key) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.first_output_at.is_some() {
            return;
        }
        run.first_output_at = Some(now);
        let elapsed = now.saturating_sub(run.granted_at);
        let endpoint = &mut self.endpoints[run.endpoint];
        if !run.is_late {
            let is_miss = elapsed > run.request.target_first.mul_f64(FIRST_TARGET_SHARE);
            let class = usize::from(run.request.class);
            endpoint.limit.observe(run.granted_at, class, is_miss);
        }
        if endpoint.health.record_success() {
            endpoint.speed.lower_weight();
        }
        let class = usize::from(run.request.class);
        let ratio = normalise(&mut self.first_latencies, class, elapsed.as_secs_f64());
        endpoint.speed.observe(now, ratio);
        let endpoint = run.endpoint;
        self.refresh(endpoint);
    }

    /// Records that the endpoint of a run wants no requests for a time.
    pub fn pause(&mut self, now: time::Duration, key: run::Key, pause: time::Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let endpoint = run.endpoint;
        let until = now + pause.min(PAUSE_MAX);
        self.endpoints[endpoint].health.pause(until);
        self.refresh(endpoint);
    }

    /// Ends a run that generated `tokens` output tokens and frees its slot.
    pub fn finish(
        &mut self,
        now: time::Duration,
        key: run::Key,
        outcome: outcome::Outcome,
        tokens: u32,
    ) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let jitter = self.rng.random::<f64>();
        let endpoint = &mut self.endpoints[run.endpoint];
        endpoint.own -= 1;
        endpoint.speed.record_end();
        endpoint.long -= u32::from(run.is_long);
        endpoint.suspects -= u32::from(run.request.need.is_suspect);
        endpoint.history.record(now, endpoint.own);
        self.long -= u32::from(run.is_long);
        match outcome {
            outcome::Outcome::Complete => self.complete(now, &run, tokens),
            outcome::Outcome::Cancelled | outcome::Outcome::Unused => {}
            outcome::Outcome::Refused => {
                endpoint.limit.decrease_to(now, endpoint.own);
                endpoint.health.pause(now + REFUSAL_PAUSE);
            }
            outcome::Outcome::Unreachable => {
                endpoint.health.record_failure(
                    now,
                    run.granted_at,
                    health::POINTS_UNREACHABLE,
                    jitter,
                );
            }
            outcome::Outcome::Failed => {
                endpoint
                    .health
                    .record_failure(now, run.granted_at, health::POINTS_FAILED, jitter);
            }
        }
        let endpoint = &self.endpoints[run.endpoint];
        if !endpoint.is_listed && endpoint.own == 0 {
            self.remove(run.endpoint);
        } else {
            self.refresh(run.endpoint);
        }
    }

    /// Records the response of a completed run in the health, the limit and the
    /// speed of its endpoint.
    fn complete(&mut self, now: time::Duration, run: &run::Run, tokens: u32) {
        let endpoint = &mut self.endpoints[run.endpoint];
        if endpoint.health.record_success() {
            endpoint.speed.lower_weight();
        }
        let Some(first) = run.first_output_at else {
            return;
        };
        if tokens < GAP_TOKENS_MIN {
            return;
        }
        let gap = now.saturating_sub(first).as_secs_f64() / f64::from(tokens - 1);
        if gap <= 0.0 {
            return;
        }
        endpoint.seconds_per_token.observe(gap);
        if let Some(target) = run.request.target_gap {
            let class = usize::from(run.request.class);
            let is_miss = gap > target.as_secs_f64();
            endpoint.limit.observe(run.granted_at, class, is_miss);
        }
        let ratio = normalise(&mut self.gap_latencies, usize::from(run.request.class), gap);
        endpoint.speed.observe(now, ratio);
    }

    /// Records a load report of the endpoint `id`. A report older than the last
    /// one, or of an unknown endpoint, is ignored.
    pub fn record_report(&mut self, now: time::Duration, id: u32, report: report::Report) {
        let Some(&key) = self.index.get(&id) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        if report.at < endpoint.reported_at {
            return;
        }
        endpoint.reported_at = report.at;
        let before = endpoint.slots();
        endpoint.reported_slots = report.slots;
        if endpoint.slots() > before {
            endpoint.limit.raise(endpoint.slots());
        }
        endpoint.is_draining = report.is_draining;
        let own = endpoint.history.at(report.at.min(now));
        endpoint.foreign = (report.running + report.waiting).saturating_sub(own);
        if report.waiting > 0 && endpoint.foreign == 0 {
            endpoint
                .limit
                .decrease_on_queueing(report.at, report.running);
        }
        self.refresh(key);
    }

    /// Recomputes the limits of an endpoint and what is derived from them.
    pub(crate) fn refresh(&mut self, key: endpoint::Key) {
        let endpoint = &mut self.endpoints[key];
        let old = endpoint.own_limit;
        endpoint.own_limit = endpoint.own_limit();
        self.own_limit = self.own_limit - old + endpoint.own_limit;
        self.nominal_slots -= endpoint.nominal_slots;
        endpoint.nominal_slots = endpoint.nominal_slots();
        self.nominal_slots += endpoint.nominal_slots;
        let candidate = &mut self.candidates[endpoint.candidate_index];
        let open_kinds = endpoint.open_kinds(self.options.long_share);
        for (index, count) in self.open_endpoints.iter_mut().enumerate() {
            *count -= usize::from(candidate.open_kinds >> index & 1);
            *count += usize::from(open_kinds >> index & 1);
        }
        candidate.open_kinds = open_kinds;
        candidate.load = (endpoint.own + endpoint.foreign) as f32;
        candidate.capacity = if endpoint.speed.awaits_trial() {
            TRIAL_CAPACITY
        } else {
            endpoint.capacity() as f32
        };
    }

    pub(crate) fn refresh_all(&mut self) {
        for index in 0..self.candidates.len() {
            self.refresh(self.candidates[index].key);
        }
    }

    /// Returns the identifier and the number of own requests of each endpoint.
    pub fn in_flight(&self) -> impl Iterator<Item = (u32, u32)> {
        let endpoints = self.endpoints.values();
        endpoints.map(|endpoint| (endpoint.spec.id, endpoint.own))
    }

    /// Returns the number of own requests that may run at a time, over all
    /// endpoints.
    pub const fn concurrency_limit(&self) -> u32 {
        self.own_limit
    }

    /// Returns the number of slots for a forecast of the service rate, over all
    /// endpoints.
    ///
    /// Short pauses do not lower it. Foreign load counts half, because it ends
    /// after a change of the home host but persists during a partition.
    pub const fn nominal_slots(&self) -> f64 {
        self.nominal_slots
    }

    /// Returns whether any endpoint is listed as up and is not draining.
    pub fn has_open_endpoint(&self) -> bool {
        self.endpoints.values().any(endpoint::Endpoint::is_open)
    }

    /// Returns whether any endpoint is listed as up, is not draining and has not
    /// failed so often that it counts as down.
    pub fn has_reachable_endpoint(&self) -> bool {
        self.endpoints
            .values()
            .any(endpoint::Endpoint::is_reachable)
    }
}

/// Adds a time to the mean of its class and returns its ratio to that mean.
pub(crate) fn normalise(means: &mut Vec<latency::Latency>, class: usize, seconds: f64) -> f64 {
    if means.len() <= class {
        means.resize(class + 1, latency::Latency::default());
    }
    let mean = &mut means[class];
    mean.observe(seconds);
    seconds / mean.mean().unwrap_or(seconds).max(MEAN_MIN_SECONDS)
}

/// Share of the first-token target that a request may spend at the endpoint; the
/// rest is left for the queue. At 1, the limit would settle where every request
/// is late.
pub(crate) const FIRST_TARGET_SHARE: f64 = 0.5;

/// Capacity of an endpoint that awaits a trial request, so high that it gets the
/// next request even when other endpoints are idle.
const TRIAL_CAPACITY: f32 = 1e6;

/// Smallest mean in a ratio; 0 would divide by zero.
const MEAN_MIN_SECONDS: f64 = 1e-6;

/// Smallest number of output tokens for which the time per token is observed.
const GAP_TOKENS_MIN: u32 = 8;

/// Longest pause that an endpoint may ask for.
const PAUSE_MAX: time::Duration = time::Duration::from_secs(3_600);

/// Time for which an endpoint that refused a request gets no new one.
const REFUSAL_PAUSE: time::Duration = time::Duration::from_millis(100);
