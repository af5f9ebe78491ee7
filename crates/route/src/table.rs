use core::time;
use std::collections;

use rand::{RngExt, SeedableRng};

use crate::endpoint;
use crate::health;
use crate::hot;
use crate::latency;
use crate::options;
use crate::outcome;
use crate::report;
use crate::request;
use crate::run;
use crate::spec;

/// Endpoints of one shard and the requests that hold places there.
#[derive(Debug)]
pub struct Table {
    pub(crate) options: options::Options,
    pub(crate) endpoints: slotmap::SlotMap<endpoint::Key, endpoint::Endpoint>,
    pub(crate) runs: slotmap::SlotMap<run::Key, run::Run>,
    pub(crate) index: rustc_hash::FxHashMap<u32, endpoint::Key>,
    pub(crate) hot: Vec<hot::Hot>,
    /// Endpoints with room, for each kind of request.
    pub(crate) open: [usize; request::Need::COUNT],
    /// Places of all endpoints for own requests.
    pub(crate) places: u32,
    /// Places that the open endpoints have once pauses and probes are over.
    pub(crate) nominal: f64,
    /// Long requests that run.
    pub(crate) long: u32,
    /// Where each prefix ran last.
    pub(crate) prefixes: rustc_hash::FxHashMap<u64, endpoint::Key>,
    pub(crate) prefix_order: collections::VecDeque<u64>,
    /// Time to first token per class, in seconds.
    pub(crate) firsts: Vec<latency::Latency>,
    /// Time between tokens per class, in seconds.
    pub(crate) gaps: Vec<latency::Latency>,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) watched: time::Duration,
}

impl Table {
    /// Returns a table without endpoints.
    pub fn new(options: options::Options) -> Self {
        Self {
            options,
            endpoints: slotmap::SlotMap::with_key(),
            runs: slotmap::SlotMap::with_key(),
            index: rustc_hash::FxHashMap::default(),
            hot: Vec::new(),
            open: [0; request::Need::COUNT],
            places: 0,
            nominal: 0.0,
            long: 0,
            prefixes: rustc_hash::FxHashMap::default(),
            prefix_order: collections::VecDeque::new(),
            firsts: Vec::new(),
            gaps: Vec::new(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(options.seed),
            watched: time::Duration::ZERO,
        }
    }

    /// Replaces the settings.
    pub fn configure(&mut self, options: options::Options) {
        self.options = options;
        self.refresh_all();
    }

    /// Replaces the list of endpoints. Requests that run on an endpoint that is
    /// no longer listed keep their place until they end.
    pub fn set_endpoints(&mut self, now: time::Duration, list: &[spec::Spec]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
        }
        for &setting in list {
            match self.index.get(&setting.id) {
                Some(&key) => {
                    let endpoint = &mut self.endpoints[key];
                    let grown = setting.slots > endpoint.setting.slots;
                    endpoint.setting = setting;
                    endpoint.listed = true;
                    if grown {
                        endpoint.limit.raise(endpoint.slots());
                    }
                }
                None => self.add(now, setting),
            }
        }
        let gone = self.endpoints.iter();
        let gone: Vec<_> = gone
            .filter(|(_, endpoint)| !endpoint.listed && endpoint.own == 0)
            .map(|(key, _)| key)
            .collect();
        gone.into_iter().for_each(|key| self.remove(key));
        self.refresh_all();
    }

    fn add(&mut self, now: time::Duration, setting: spec::Spec) {
        let mut endpoint = endpoint::Endpoint::new(now, setting);
        endpoint.position = self.hot.len();
        let key = self.endpoints.insert(endpoint);
        self.index.insert(setting.id, key);
        self.hot.push(hot::Hot {
            key,
            room: 0,
            load: 0.0,
            capacity: 1.0,
        });
    }

    fn remove(&mut self, key: endpoint::Key) {
        self.refresh(key);
        let Some(endpoint) = self.endpoints.remove(key) else {
            return;
        };
        self.places -= endpoint.places;
        self.nominal -= endpoint.nominal;
        self.index.remove(&endpoint.setting.id);
        self.hot.swap_remove(endpoint.position);
        if let Some(moved) = self.hot.get(endpoint.position) {
            self.endpoints[moved.key].position = endpoint.position;
        }
    }

    /// Gives a place on the endpoint to a request.
    pub(crate) fn place(
        &mut self,
        now: time::Duration,
        key: endpoint::Key,
        work: request::Request,
    ) -> run::Key {
        let endpoint = &mut self.endpoints[key];
        endpoint.own += 1;
        endpoint.long += u32::from(work.need.is_long);
        endpoint.suspects += u32::from(work.need.is_suspect);
        endpoint.history.push(now, endpoint.own);
        if endpoint.own >= endpoint.places {
            endpoint.limit.bind();
        }
        endpoint.speed.sent();
        self.long += u32::from(work.need.is_long);
        self.remember(work.prefix_hash, key);
        self.refresh(key);
        self.runs.insert(run::Run {
            endpoint: key,
            work,
            granted: now,
            first: None,
            long: work.need.is_long,
            late: false,
        })
    }

    /// Returns the identity of the endpoint of a run.
    pub fn endpoint(&self, key: run::Key) -> Option<u32> {
        let run = self.runs.get(key)?;
        Some(self.endpoints.get(run.endpoint)?.setting.id)
    }

    /// Notes the first output of a run.
    pub fn record_first_output(&mut self, now: time::Duration, key: run::Key) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.first.is_some() {
            return;
        }
        run.first = Some(now);
        let took = now.saturating_sub(run.granted);
        let endpoint = &mut self.endpoints[run.endpoint];
        if !run.late {
            let miss = took > run.work.target_first.mul_f64(FIRST_PART);
            let class = usize::from(run.work.class);
            endpoint.limit.observe(run.granted, class, miss);
        }
        if endpoint.health.succeed() {
            endpoint.speed.restart();
        }
        let class = usize::from(run.work.class);
        let ratio = normalise(&mut self.firsts, class, took.as_secs_f64());
        endpoint.speed.observe(now, ratio);
        let endpoint = run.endpoint;
        self.refresh(endpoint);
    }

    /// Ends a run that generated `tokens` and frees its place.
    pub fn finish(
        &mut self,
        now: time::Duration,
        key: run::Key,
        end: outcome::Outcome,
        tokens: u32,
    ) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let jitter = self.rng.random::<f64>();
        let endpoint = &mut self.endpoints[run.endpoint];
        endpoint.own -= 1;
        endpoint.speed.ended();
        endpoint.long -= u32::from(run.long);
        endpoint.suspects -= u32::from(run.work.need.is_suspect);
        endpoint.history.push(now, endpoint.own);
        self.long -= u32::from(run.long);
        match end {
            outcome::Outcome::Complete => self.complete(now, &run, tokens),
            outcome::Outcome::Cancelled | outcome::Outcome::Unused => {}
            outcome::Outcome::Refused => {
                endpoint.limit.full(now, endpoint.own);
                endpoint.health.pause(now + FULL_PAUSE);
            }
            outcome::Outcome::Unreachable => {
                endpoint
                    .health
                    .fail(now, run.granted, health::UNREACHABLE, jitter);
            }
            outcome::Outcome::Failed => {
                endpoint
                    .health
                    .fail(now, run.granted, health::FAILED, jitter);
            }
        }
        let endpoint = &self.endpoints[run.endpoint];
        if !endpoint.listed && endpoint.own == 0 {
            self.remove(run.endpoint);
        } else {
            self.refresh(run.endpoint);
        }
    }

    fn complete(&mut self, now: time::Duration, run: &run::Run, tokens: u32) {
        let endpoint = &mut self.endpoints[run.endpoint];
        if endpoint.health.succeed() {
            endpoint.speed.restart();
        }
        let Some(first) = run.first else {
            return;
        };
        if tokens < GAP_TOKENS_MIN {
            return;
        }
        let gap = now.saturating_sub(first).as_secs_f64() / f64::from(tokens - 1);
        if gap <= 0.0 {
            return;
        }
        endpoint.gap.observe(gap);
        if let Some(target) = run.work.target_gap {
            let class = usize::from(run.work.class);
            let miss = gap > target.as_secs_f64();
            endpoint.limit.observe(run.granted, class, miss);
        }
        let ratio = normalise(&mut self.gaps, usize::from(run.work.class), gap);
        endpoint.speed.observe(now, ratio);
    }

    /// Notes a load report. A report older than the last one is ignored.
    pub fn record_report(&mut self, now: time::Duration, id: u32, report: report::Report) {
        let Some(&key) = self.index.get(&id) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        if report.at < endpoint.report_at {
            return;
        }
        endpoint.report_at = report.at;
        let before = endpoint.slots();
        endpoint.reported = report.slots;
        if endpoint.slots() > before {
            endpoint.limit.raise(endpoint.slots());
        }
        endpoint.draining = report.is_draining;
        let own = endpoint.history.at(report.at.min(now));
        endpoint.foreign = (report.running + report.waiting).saturating_sub(own);
        if report.waiting > 0 && endpoint.foreign == 0 {
            endpoint.limit.queues(report.at, report.running);
        }
        self.refresh(key);
    }

    /// Recomputes the room of an endpoint after any change.
    pub(crate) fn refresh(&mut self, key: endpoint::Key) {
        let endpoint = &mut self.endpoints[key];
        let old = endpoint.places;
        endpoint.places = endpoint.room();
        self.places = self.places - old + endpoint.places;
        self.nominal -= endpoint.nominal;
        endpoint.nominal = endpoint.nominal();
        self.nominal += endpoint.nominal;
        let hot = &mut self.hot[endpoint.position];
        let bits = endpoint.bits(self.options.long_share);
        for (index, count) in self.open.iter_mut().enumerate() {
            *count -= usize::from(hot.room >> index & 1);
            *count += usize::from(bits >> index & 1);
        }
        hot.room = bits;
        hot.load = (endpoint.own + endpoint.foreign) as f32;
        hot.capacity = if endpoint.speed.wants_proof() {
            PROOF_CAPACITY
        } else {
            endpoint.capacity() as f32
        };
    }

    pub(crate) fn refresh_all(&mut self) {
        for index in 0..self.hot.len() {
            self.refresh(self.hot[index].key);
        }
    }

    /// Returns the granted requests that have not ended, per endpoint.
    pub fn in_flight(&self) -> impl Iterator<Item = (u32, u32)> {
        let endpoints = self.endpoints.values();
        endpoints.map(|endpoint| (endpoint.setting.id, endpoint.own))
    }

    /// Returns the places of all endpoints for own requests.
    pub const fn concurrency_limit(&self) -> u32 {
        self.places
    }

    /// Returns the places on which a forecast of the service rate can count.
    ///
    /// Short pauses do not lower it. Foreign load counts half, because it ends
    /// after a change of the home host and stays during a partition.
    pub const fn nominal_slots(&self) -> f64 {
        self.nominal
    }

    /// Returns whether any endpoint is listed as up and does not drain.
    pub fn has_open_endpoint(&self) -> bool {
        self.endpoints.values().any(endpoint::Endpoint::open)
    }

    /// Returns whether any endpoint is open and not known to be down.
    pub fn has_reachable_endpoint(&self) -> bool {
        self.endpoints.values().any(endpoint::Endpoint::alive)
    }
}

/// Divides a time by the mean of its class, which then follows it.
pub(crate) fn normalise(means: &mut Vec<latency::Latency>, class: usize, seconds: f64) -> f64 {
    if means.len() <= class {
        means.resize(class + 1, latency::Latency::default());
    }
    let mean = &mut means[class];
    mean.observe(seconds);
    seconds / mean.mean().unwrap_or(seconds).max(SECONDS_MIN)
}

/// Part of the first-token target that a request may spend at the endpoint; the
/// rest is for the queue. At 1, the limit settles where every request is late.
pub(crate) const FIRST_PART: f64 = 0.5;

/// Capacity in the scan of an endpoint that is to prove its speed, so that it
/// gets the next request even when others are idle.
const PROOF_CAPACITY: f32 = 1e6;

/// Smallest mean time in seconds.
const SECONDS_MIN: f64 = 1e-6;

/// Output tokens from which the time per token is observed.
const GAP_TOKENS_MIN: u32 = 8;

/// Time for which an endpoint that refused gets nothing new.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(100);
