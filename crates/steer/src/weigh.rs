use core::time;

use rand::RngExt;

use crate::balancer;
use crate::choose;
use crate::endpoint;
use crate::estimate;
use crate::key;
use crate::partition;
use crate::recent;
use crate::trace;
use crate::work;

/// Share of the slots that answers use while an engine counts as busy. Hosts learn of each
/// other's requests late, so engines never fill evenly. With 1.0, 8 % of the short
/// prompts of Cascadia are late at a crest of them; with 0.5, a third of the long ones is
/// late while one team sends seven times as much.
const SLOTS_USED: f64 = 0.7;

/// Share of the bound of the backlog up to which requests of a team above its equal share
/// are admitted. Engines that are not busy have a smaller backlog, so unused shares are
/// lent.
const OVER_BACKLOG: f64 = 0.25;

/// Ranked engines for a prompt that are compared.
const RANKED_MAX: usize = 4;

/// Prompts whose ranking is kept. The rankings of both shapes in docs/hard-load.md are
/// a tenth of it.
const RANKINGS_MAX: usize = 4_096;

/// Age of the mean backlog in milliseconds. Loads arrive every 150 ms or more.
const MEAN_AGE: time::Duration = time::Duration::from_millis(50);

/// Multiple of the mean backlog up to which the first ranked engine takes a prompt.
const HOME_LOAD: f64 = 2.0;

/// Backlog in milliseconds that never counts as too much, because the mean of an idle
/// fleet is 0.
const HOME_MIN_MS: f64 = 150.0;

/// Prompt tokens that an engine with running interactive answers may have to read. They
/// are three steps of 1,024 tokens, half of an event of six tokens, whose pause
/// stays below the 200 ms that its callers accept.
const SPARE_TOKENS: f64 = 3_072.0;

/// The engines that rank first for a prompt, by service and part.
pub(crate) type Rankings = rustc_hash::FxHashMap<(u32, u64), Vec<key::Key>>;

/// A request as it is weighed.
pub(crate) struct Request<'a> {
    pub(crate) now: time::Duration,
    pub(crate) service: &'a str,
    pub(crate) work: &'a work::Work,
    pub(crate) objective: work::Objective,
    pub(crate) is_sampled: bool,
    /// Whether the team uses much more than its equal share.
    pub(crate) is_over: bool,
    pub(crate) weighs_prefix: bool,
    /// Target by which the backlog for bulk work is bounded.
    pub(crate) target: time::Duration,
}

impl balancer::Balancer {
    /// Returns whether the service weighs cached prefixes against the wait.
    pub(crate) fn weighs_prefix(&self, service: &str) -> bool {
        self.weighing.contains(service)
    }

    /// Returns the learned speed of an engine.
    fn engine_rates(&self, now: time::Duration, key: key::Key) -> estimate::Rates {
        let rates = self.rates(now, key);
        estimate::Rates {
            tokens_per_ms: rates.prefill_tokens_per_ms,
            step_ms: rates.step_ms,
        }
    }

    /// Returns the engine time of an output token in milliseconds: a step yields one for
    /// each slot in use. `None` if the service learns no rates.
    pub(crate) fn token_ms(&self, service: &str) -> Option<f64> {
        let full_batch_ms = self.output_token_ms(service)?;
        Some(full_batch_ms / SLOTS_USED)
    }

    /// Ranks all engines of the service for the prompt. The division between kinds of
    /// work has no influence, so that it moves no parts.
    fn ranking(
        &self,
        service: &str,
        part: work::Part,
        recent: &mut recent::Recent,
    ) -> Vec<key::Key> {
        let id = (endpoint::tag(service), part.id);
        if let Some(known) = recent.rankings.get(&id) {
            return known.clone();
        }
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let ranked = self.ranked(part, keys);
        if recent.rankings.len() >= RANKINGS_MAX {
            recent.rankings.clear();
        }
        recent.rankings.insert(id, ranked.clone());
        ranked
    }

    /// Returns the mean backlog of the engines in prompt tokens.
    fn mean_backlog(
        &self,
        now: time::Duration,
        service: &str,
        keys: &[key::Key],
        recent: &mut recent::Recent,
    ) -> f64 {
        if let Some((at, mean)) = recent.mean_backlogs.get(service)
            && now.saturating_sub(*at) < MEAN_AGE
        {
            return *mean;
        }
        let backlog = |key: &key::Key| {
            let total = self.endpoints[*key].total(now, &self.options);
            total.prefill_tokens
        };
        let mean = keys.iter().map(backlog).sum::<f64>() / keys.len().max(1) as f64;
        recent.mean_backlogs.insert(service.to_owned(), (now, mean));
        mean
    }

    /// Weighs the engines for a prompt.
    pub(crate) fn weighed(
        &self,
        request: &Request<'_>,
        keys: &[key::Key],
        recent: &mut recent::Recent,
        rng: &mut impl rand::Rng,
        trace: &mut impl trace::Trace,
    ) -> Vec<choose::Candidate> {
        let (now, work) = (request.now, request.work);
        let mut partition = self.partition(now, request.service, work, None, keys);
        if let Some(part) = work.placement() {
            let ranked = self.ranking(request.service, part, recent).into_iter();
            let open = ranked.filter(|key| keys.contains(key));
            partition.ranked = open.take(RANKED_MAX).collect();
        }
        let mean = self.mean_backlog(now, request.service, keys, recent);
        let compared = match request.is_sampled {
            true => self.shortlist(work, keys, &partition, rng),
            false => keys.to_vec(),
        };
        let bound = |key: &key::Key| {
            let floor = HOME_MIN_MS * self.engine_rates(now, *key).tokens_per_ms;
            (mean * HOME_LOAD).max(floor)
        };
        let is_within = |key: &key::Key| {
            let total = self.endpoints[*key].total(now, &self.options);
            total.prefill_tokens <= bound(key)
        };
        let ranked = partition.ranked.iter().copied();
        let home = ranked
            .clone()
            .find(|key| is_within(key) && (partition.reserved.contains(key) || !work.is_bulk()))
            .or_else(|| ranked.clone().next());
        let failed = self.mean_failure_share(now, keys);
        compared
            .into_iter()
            .map(|key| {
                let jitter_ms = rng.random_range(0.0..choose::JITTER_MS);
                let (mut candidate, mut costs) = self.weigh(request, &partition, key, home, mean);
                costs.jitter = jitter_ms;
                costs.fault = self.fault_ms(now, key, failed);
                candidate.cost = costs.sum();
                trace.weigh(&candidate, &costs);
                candidate
            })
            .collect()
    }

    fn weigh(
        &self,
        request: &Request<'_>,
        partition: &partition::Partition,
        key: key::Key,
        home: Option<key::Key>,
        mean: f64,
    ) -> (choose::Candidate, trace::Costs) {
        let (now, work) = (request.now, request.work);
        let endpoint = &self.endpoints[key];
        let service = request.service;
        let rates = self.engine_rates(now, key);
        let total = endpoint.total(now, &self.options);
        let shared = work.shared().iter().map(|part| f64::from(part.tokens));
        let own = f64::from(work.prompt_tokens) - shared.sum::<f64>();
        // Other hosts send the prompt to the same engine, but one whose cache holds less
        // than the shared parts, as far as is known, is cold.
        let is_home = home == Some(key);
        let is_warm = endpoint.cache.tokens() >= f64::from(work.prompt_tokens) - own;
        let missing = self.prefill_tokens(endpoint, work, is_home && is_warm);
        let kv_capacity = self.kv_capacities.get(service).copied();
        let held = endpoint.cache.tokens() + total.kv_tokens + f64::from(work.kv_tokens());
        let inputs = estimate::Inputs {
            rates,
            slowness: endpoint.slowness(now, &self.options),
            slots: f64::from(endpoint.listed.slots.max(1)),
            total,
            missing,
            missing_shared: (missing - own).max(0.0),
            evicted: kv_capacity.map_or(0.0, |capacity| {
                (held - capacity).clamp(0.0, f64::from(work.kv_tokens()))
            }),
            distance_ms: match endpoint.listed.data_centre == self.options.data_centre {
                true => 0.0,
                false => self.options.remote_penalty_ms,
            },
            mean_backlog_ms: mean / rates.tokens_per_ms,
            is_home,
        };
        let terms = estimate::terms(&inputs, work);
        let fill = choose::fill(request.objective);
        let has_room = kv_capacity
            .is_none_or(|capacity| choose::has_room(endpoint, total, capacity, work, fill));
        let is_reserved = partition.reserved.contains(&key);
        let costs = trace::Costs {
            terms,
            mix: match work.is_bulk() {
                // What a long prompt delays is bounded by its admission.
                true => 0.0,
                false => partition.misplaced(key, work) * self.options.mix_penalty_ms,
            },
            no_room: match has_room {
                true => 0.0,
                false => choose::NO_ROOM_PENALTY_MS,
            },
            ..trace::Costs::default()
        };
        let candidate = choose::Candidate {
            key,
            cost: 0.0,
            wait_ms: terms.wait(),
            backlog_ms: terms.ahead,
            has_room: has_room && !endpoint.fault.is_full(now),
            excess_ms: self.excess_ms(request, &inputs, &terms, is_reserved),
            prefill_tokens: missing as u32,
            rank: partition.ranked.iter().position(|ranked| *ranked == key),
            is_cached: inputs.missing_shared <= 0.0,
            share: partition.share,
            is_reserved,
        };
        (candidate, costs)
    }

    /// Returns the time by which the request would come too late, or would delay others
    /// too much.
    fn excess_ms(
        &self,
        request: &Request<'_>,
        inputs: &estimate::Inputs,
        terms: &estimate::Terms,
        is_reserved: bool,
    ) -> f64 {
        let objective = request.objective;
        let remaining_ms = objective.remaining.as_secs_f64() * 1_000.0;
        let late_ms = terms.wait() - remaining_ms * self.options.wait_share;
        if !request.work.is_bulk() {
            return late_ms;
        }
        let urgent_targets = self.options.backlog_urgent_targets * objective.urgency;
        let over = if request.is_over { OVER_BACKLOG } else { 1.0 };
        let targets = (self.options.backlog_targets + urgent_targets) * over;
        // The own part does not count, so that large and small requests are alike.
        let again_ms = match inputs.is_home {
            true => 0.0,
            false => inputs.missing_shared / inputs.rates.tokens_per_ms,
        };
        let backlog_ms = terms.ahead + again_ms;
        let mut excess_ms =
            late_ms.max(backlog_ms - request.target.as_secs_f64() * 1_000.0 * targets);
        if !is_reserved && inputs.total.running >= 1.0 {
            let unread = inputs.total.prefill_tokens + inputs.missing;
            excess_ms = excess_ms.max((unread - SPARE_TOKENS) / inputs.rates.tokens_per_ms);
        }
        excess_ms
    }
}
