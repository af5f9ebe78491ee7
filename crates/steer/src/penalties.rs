//! Comparison of endpoints by the expected wait and fixed penalties, for services that do
//! not weigh cached prefixes against the wait.

use core::time;

use rand::RngExt;

use crate::balancer;
use crate::choose;
use crate::endpoint;
use crate::estimate;
use crate::key;
use crate::rate;
use crate::recent;
use crate::trace;
use crate::weigh;

/// Share of the slots of an engine reserved for interactive work below which it
/// accepts bulk work.
const LIGHT_LOAD_SHARE: f64 = 0.25;

/// Share of the backlog bound up to which an engine that must read the shared
/// parts of a prompt accepts it, unless it ranks first for the prompt. Without
/// this, a crest spreads each prompt over many engines, and reading it again
/// everywhere adds the load of several crests. It applies to the least urgent bulk
/// work, so that no cached prompt displaces a more urgent one.
const SPILL_SHARE: f64 = 0.25;

/// Cost in milliseconds of an endpoint outside the shared ranking of a bulk
/// prompt. Other hosts place the same prompt within the ranking.
const UNRANKED_PENALTY_MS: f64 = 30.0;

/// Share of an engine's slots that can be in use before contention adds cost.
const CONTENTION_FREE_SHARE: f64 = 0.5;

/// Cost in milliseconds of an engine with all slots in use. Every running
/// request lengthens the steps of the whole batch, and other hosts may send
/// requests at the same time.
const CONTENTION_PENALTY_MS: f64 = 400.0;

impl balancer::Balancer {
    /// Compares endpoints of a service that does not weigh prefixes.
    pub(crate) fn candidates(
        &self,
        request: &weigh::Request<'_>,
        keys: &[key::Key],
        recent: &recent::Recent,
        rng: &mut impl rand::Rng,
        trace: &mut impl trace::Trace,
    ) -> impl Iterator<Item = choose::Candidate> {
        let (now, service) = (request.now, request.service);
        let (work, objective) = (request.work, request.objective);
        let usual = self.service_speed(service);
        let partition = self.partition(now, service, work, work.placement(), keys);
        let first = partition.ranked.first().copied();
        let wait_bound_ms = objective.remaining.as_secs_f64() * 1_000.0 * self.options.wait_share;
        let urgent_targets = self.options.backlog_urgent_targets * objective.urgency;
        let targets = self.options.backlog_targets + urgent_targets;
        let target_ms = request.target.as_secs_f64() * 1_000.0;
        let is_least_urgent = work.is_bulk() && recent.is_least_urgent(now, service, objective);
        let kv_capacity = self.kv_capacities.get(service).copied();
        let compared = match request.is_sampled {
            true => self.shortlist(work, keys, &partition, rng),
            false => keys.to_vec(),
        };
        let fill = choose::fill(objective);
        let mean = self.mean_failure_share(now, keys);
        compared.into_iter().map(move |key| {
            let endpoint = &self.endpoints[key];
            let speed = self.endpoint_speed(now, key, usual);
            let prefill_tokens = self.prefill_tokens(endpoint, work, first == Some(key));
            let mut terms = self.wait_terms(now, endpoint, prefill_tokens, speed);
            if endpoint.listed.data_centre != self.options.data_centre {
                terms.distance = self.options.remote_penalty_ms;
            }
            let wait_ms = terms.wait();
            let shared = work.shared().iter().map(|part| f64::from(part.tokens));
            let unshared = f64::from(work.prompt_tokens) - shared.sum::<f64>();
            let total = endpoint.total(now, &self.options);
            let has_room = kv_capacity.is_none_or(|kv_capacity| {
                choose::has_room(endpoint, total, kv_capacity, work, fill)
            });
            let filled = total.running / f64::from(endpoint.listed.slots.max(1));
            let costs = trace::Costs {
                terms,
                cache_miss: (prefill_tokens - unshared).max(0.0)
                    * self.options.cache_miss_penalty_ms,
                mix: partition.misplaced(key, work) * self.options.mix_penalty_ms,
                contention: match kv_capacity {
                    Some(_) => {
                        (filled - CONTENTION_FREE_SHARE).max(0.0) * CONTENTION_PENALTY_MS
                            / (1.0 - CONTENTION_FREE_SHARE)
                    }
                    None => 0.0,
                },
                unranked: match work.is_bulk() && !partition.ranked.contains(&key) {
                    true => UNRANKED_PENALTY_MS,
                    false => 0.0,
                },
                no_room: if has_room {
                    0.0
                } else {
                    choose::NO_ROOM_PENALTY_MS
                },
                fault: self.fault_ms(now, key, mean),
                jitter: rng.random_range(0.0..choose::JITTER_MS),
            };
            let is_cached = endpoint.cache.prefix_len(work.shared()) == work.shared().len();
            let bulk_bound_ms = match is_cached || first == Some(key) || !is_least_urgent {
                true => target_ms * targets,
                false => target_ms * targets * SPILL_SHARE,
            };
            let backlog_ms = total.prefill_tokens / speed.tokens_per_ms;
            // Short prompts hardly add to a backlog; bulk work is refused first.
            let backlog_bound_ms = match (work.is_bulk(), partition.reserved.contains(&key)) {
                (false, _) => f64::INFINITY,
                (true, true) => bulk_bound_ms,
                (true, false) if is_cached && is_lightly_loaded(endpoint, total) => bulk_bound_ms,
                (true, false) => f64::NEG_INFINITY,
            };
            let candidate = choose::Candidate {
                key,
                cost: costs.sum(),
                wait_ms,
                backlog_ms,
                has_room: has_room && !endpoint.fault.is_full(now),
                share: partition.share,
                is_reserved: partition.reserved.contains(&key),
                rank: partition.ranked.iter().position(|ranked| *ranked == key),
                is_cached,
                excess_ms: (wait_ms - wait_bound_ms).max(backlog_ms - backlog_bound_ms),
                prefill_tokens: prefill_tokens as u32,
            };
            trace.weigh(&candidate, &costs);
            candidate
        })
    }

    /// Estimates the time to the first event at a service that does not weigh prefixes,
    /// or to the answer to a request without a prompt.
    fn wait_terms(
        &self,
        now: time::Duration,
        endpoint: &endpoint::Endpoint,
        prefill_tokens: f64,
        speed: rate::Speed,
    ) -> estimate::Terms {
        let total = endpoint.total(now, &self.options);
        let slowness = endpoint.slowness(now, &self.options);
        if prefill_tokens > 0.0 {
            let per_token = slowness / speed.tokens_per_ms;
            return estimate::Terms {
                prefill: prefill_tokens * per_token,
                ahead: total.prefill_tokens * per_token,
                decode: total.running * choose::RUNNING_DELAY_MS * slowness,
                ..estimate::Terms::default()
            };
        }
        let slots = f64::from(endpoint.listed.slots.max(1));
        let reported = endpoint.reported(now, &self.options);
        let running = total.running.max(reported);
        let idle_ms = speed.plain_ms * slowness;
        estimate::Terms {
            decode: idle_ms,
            slot: idle_ms * (choose::queue_factor(running, slots) - 1.0),
            ..estimate::Terms::default()
        }
    }
}

/// Returns whether an engine reserved for interactive work can accept a long
/// prompt whose shared parts it has cached. Only a few running answers are then
/// delayed, and no second long prompt follows immediately.
fn is_lightly_loaded(endpoint: &endpoint::Endpoint, total: endpoint::Total) -> bool {
    total.running < f64::from(endpoint.listed.slots) * LIGHT_LOAD_SHARE
        && total.prefill_tokens < 1.0
}
