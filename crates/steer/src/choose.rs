use core::time;

use rand::RngExt;

use crate::balancer;
use crate::endpoint;
use crate::key;
use crate::pick;
use crate::work;

/// Milliseconds that a running request of a model engine adds to the expected
/// wait of a new one, because all of them share each step.
const RUNNING_MS: f64 = 1.5;

/// Milliseconds by which an endpoint that fails every request ranks behind one
/// that fails as often as the others of its service.
const FAILED_MS: f64 = 1_500.0;

/// Excess over the mean share of failures that counts as chance.
const FAILED_CHANCE: f64 = 0.1;

/// Share of an engine's places and memory that is filled. Beyond it, requests
/// are preempted.
const FILL_SHARE: f64 = 0.75;

/// What the most urgent requests may fill beyond that share, so that they are
/// the last to be refused.
const FILL_URGENT_SHARE: f64 = 0.15;

/// Milliseconds by which an engine without room ranks behind the others.
const NO_ROOM_MS: f64 = 5_000.0;

/// Share of the places of an engine for short prompts up to which it takes a
/// long one.
const QUIET_SHARE: f64 = 0.25;

/// Milliseconds by which an endpoint ranks behind those at which other hosts
/// would place the same prompt.
const UNRANKED_MS: f64 = 30.0;

/// Share of an engine's places up to which more requests cost nothing extra.
const CALM_SHARE: f64 = 0.5;

/// Milliseconds by which a full engine ranks behind a calm one. Every running
/// request lengthens the steps of all, and other hosts send at the same time.
const CROWD_MS: f64 = 400.0;

/// Random part of a cost in milliseconds. Hosts that read the same loads would
/// otherwise all choose the same endpoint.
const SPREAD_MS: f64 = 4.0;

/// Bounds of the time after which a refused caller is told to come back, in
/// milliseconds.
const RETRY_MS: (f64, f64) = (200.0, 2_000.0);

/// An endpoint that may take a request.
struct Candidate {
    key: key::Key,
    cost: f64,
    wait_ms: f64,
    /// Time that the prompts ahead take.
    backlog_ms: f64,
    has_room: bool,
    /// Time by which the request would wait longer than it may; negative if it
    /// would not.
    excess_ms: f64,
    prefill_tokens: u32,
    rank: Option<usize>,
    is_cached: bool,
    share: f64,
    is_reserved: bool,
}

impl Candidate {
    fn admits(&self) -> bool {
        self.has_room && self.excess_ms <= 0.0
    }
}

impl balancer::Balancer {
    /// Chooses the endpoint of a service for a request.
    ///
    /// `tried` endpoints are passed over. Endpoints that are taken for
    /// unreachable are tried only if there is no other one.
    pub fn pick(
        &self,
        now: time::Duration,
        service: &str,
        work: &work::Work,
        need: work::Objective,
        tried: &[key::Key],
        rng: &mut impl rand::Rng,
    ) -> pick::Decision {
        let Some(keys) = self.services.get(service) else {
            return pick::Decision::NoEndpoint;
        };
        let open: Vec<key::Key> = keys
            .iter()
            .copied()
            .filter(|key| !tried.contains(key) && self.is_accepting(*key))
            .collect();
        let reachable: Vec<key::Key> = open
            .iter()
            .copied()
            .filter(|&key| !self.endpoints[key].is_down(now, &self.options))
            .collect();
        let list = if reachable.is_empty() {
            open
        } else {
            reachable
        };
        let draws = self.draws(now, service);
        let mut candidates: Vec<Candidate> = self
            .candidates(now, service, work, need, &list, draws, rng)
            .collect();
        if draws && !candidates.iter().any(Candidate::admits) {
            // None is refused while another endpoint takes it.
            candidates = self
                .candidates(now, service, work, need, &list, false, rng)
                .collect();
        }
        let by_cost = |a: &&Candidate, b: &&Candidate| a.cost.total_cmp(&b.cost);
        let admitted = candidates.iter().filter(|candidate| candidate.admits());
        if let Some(best) = admitted.min_by(by_cost) {
            return pick::Decision::Selected(self.picked(now, best));
        }
        let Some(best) = candidates.iter().min_by(by_cost) else {
            return pick::Decision::NoEndpoint;
        };
        pick::Decision::Refused(pick::Refusal {
            retry_after: retry_after(best.excess_ms, rng),
            wait_ms: best.wait_ms,
            backlog_ms: best.backlog_ms,
            has_room: best.has_room,
        })
    }

    /// Returns whether a request compares drawn engines only, because other
    /// hosts choose among the same ones.
    fn draws(&self, now: time::Duration, service: &str) -> bool {
        let has_others = self
            .heard
            .is_some_and(|at| now.saturating_sub(at) < self.options.peer_load_age);
        has_others && self.memories.contains_key(service)
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "each is a part of the request or of the scene"
    )]
    fn candidates(
        &self,
        now: time::Duration,
        service: &str,
        work: &work::Work,
        need: work::Objective,
        keys: &[key::Key],
        draws: bool,
        rng: &mut impl rand::Rng,
    ) -> impl Iterator<Item = Candidate> {
        let pace = self.paces.get(service).copied().unwrap_or_default();
        let partition = self.partition(now, service, work, keys);
        let first = partition.ranked.first().copied();
        let wait_bound_ms = need.remaining.as_secs_f64() * 1_000.0 * self.options.wait_share;
        let urgent_targets = self.options.backlog_urgent_targets * need.urgency;
        let targets = self.options.backlog_targets + urgent_targets;
        let target_ms = need.target_first.as_secs_f64() * 1_000.0;
        let memory = self.memories.get(service).copied();
        let compared = match draws {
            true => self.shortlist(work, keys, &partition, rng),
            false => keys.to_vec(),
        };
        let fill = FILL_SHARE + FILL_URGENT_SHARE * need.urgency;
        let mean = self.mean_failed(now, keys);
        compared.into_iter().map(move |key| {
            let endpoint = &self.endpoints[key];
            let unread = self.unread(endpoint, work, first == Some(key));
            let wait_ms = self.wait_ms(now, endpoint, unread, pace);
            let failed = (endpoint.failed(now, &self.options) - mean - FAILED_CHANCE).max(0.0);
            let own = work.shared().iter().map(|part| f64::from(part.tokens));
            let fresh = f64::from(work.prompt_tokens) - own.sum::<f64>();
            let reread = (unread - fresh).max(0.0) * self.options.cache_miss_penalty_ms;
            let mut cost = wait_ms + reread + failed * FAILED_MS + rng.random_range(0.0..SPREAD_MS);
            if endpoint.listed.data_centre != self.options.data_centre {
                cost += self.options.remote_penalty_ms;
            }
            cost += partition.misplaced(key, work) * self.options.mix_penalty_ms;
            let total = endpoint.total(now, &self.options);
            let has_room =
                memory.is_none_or(|memory| has_room(endpoint, total, memory, work, fill));
            if memory.is_some() {
                let filled = total.running / f64::from(endpoint.listed.slots.max(1));
                cost += (filled - CALM_SHARE).max(0.0) * CROWD_MS / (1.0 - CALM_SHARE);
            }
            if !has_room {
                cost += NO_ROOM_MS;
            }
            let is_full = endpoint.fault.is_full(now);
            if is_full {
                cost += FAILED_MS;
            }
            if work.is_bulk() && !partition.ranked.contains(&key) {
                cost += UNRANKED_MS;
            }
            let backlog_ms = total.prefill_tokens / pace.tokens_per_ms;
            // Short prompts hardly add to a backlog; long ones are refused first.
            let backlog_bound_ms = match (work.is_bulk(), partition.meant.contains(&key)) {
                (false, _) => f64::INFINITY,
                (true, true) => target_ms * targets,
                (true, false) if is_quiet(endpoint, total) => target_ms * targets,
                (true, false) => f64::NEG_INFINITY,
            };
            Candidate {
                key,
                cost,
                wait_ms,
                backlog_ms,
                has_room: has_room && !is_full,
                share: partition.share,
                is_reserved: partition.meant.contains(&key),
                rank: partition.ranked.iter().position(|ranked| *ranked == key),
                is_cached: endpoint.cache.leading(work.shared()) == work.shared().len(),
                excess_ms: (wait_ms - wait_bound_ms).max(backlog_ms - backlog_bound_ms),
                prefill_tokens: unread as u32,
            }
        })
    }

    fn mean_failed(&self, now: time::Duration, keys: &[key::Key]) -> f64 {
        let sum: f64 = keys
            .iter()
            .map(|&key| self.endpoints[key].failed(now, &self.options))
            .sum();
        sum / keys.len().max(1) as f64
    }

    /// Returns the prompt tokens that the endpoint probably has to read.
    fn unread(&self, endpoint: &endpoint::Endpoint, work: &work::Work, is_first: bool) -> f64 {
        let shared = work.shared();
        let cached = endpoint.cache.leading(shared);
        let mut known: f64 = shared[..cached]
            .iter()
            .map(|part| f64::from(part.tokens))
            .sum();
        if is_first && cached < shared.len() {
            let rest: f64 = shared[cached..]
                .iter()
                .map(|part| f64::from(part.tokens))
                .sum();
            known += rest * self.options.first_rank_cached_share;
        }
        (f64::from(work.prompt_tokens) - known).max(0.0)
    }

    /// Returns the expected time to the first event.
    fn wait_ms(
        &self,
        now: time::Duration,
        endpoint: &endpoint::Endpoint,
        unread: f64,
        pace: balancer::Pace,
    ) -> f64 {
        let total = endpoint.total(now, &self.options);
        let slowness = endpoint.slowness(now, &self.options);
        if unread > 0.0 {
            let tokens = total.prefill_tokens + unread;
            return (tokens / pace.tokens_per_ms + total.running * RUNNING_MS) * slowness;
        }
        let slots = f64::from(endpoint.listed.slots.max(1));
        let reported = match endpoint.report {
            Some((report, at)) if now.saturating_sub(at) < self.options.report_age => {
                f64::from(report.running + report.waiting)
            }
            _ => 0.0,
        };
        let running = total.running.max(reported);
        let queued = (running + 1.0 - slots).max(0.0) / slots;
        pace.plain_ms * (1.0 + queued + running / slots * 0.2) * slowness
    }

    fn picked(&self, now: time::Duration, best: &Candidate) -> pick::Pick {
        let endpoint = &self.endpoints[best.key];
        pick::Pick {
            key: best.key,
            id: endpoint.listed.id.clone(),
            address: endpoint.listed.address,
            is_local: endpoint.listed.data_centre == self.options.data_centre,
            wait_ms: best.wait_ms,
            prefill_tokens: best.prefill_tokens,
            report_age: endpoint.report.map(|(_, at)| now.saturating_sub(at)),
            rank: best.rank,
            interactive_share: best.share,
            is_reserved: best.is_reserved,
            is_cached: best.is_cached,
        }
    }
}

/// Returns whether one more long prompt delays few answers at an engine that is
/// kept for short ones, and none of them twice in a row.
fn is_quiet(endpoint: &endpoint::Endpoint, total: endpoint::Total) -> bool {
    total.running < f64::from(endpoint.listed.slots) * QUIET_SHARE && total.prefill_tokens < 1.0
}

/// Returns whether the request fits into this share of an engine's places and
/// memory.
fn has_room(
    endpoint: &endpoint::Endpoint,
    total: endpoint::Total,
    memory: f64,
    work: &work::Work,
    fill: f64,
) -> bool {
    let slots = f64::from(endpoint.listed.slots);
    let held = total.kv_tokens + f64::from(work.kv_tokens());
    total.running < slots * fill && (held < memory * fill || total.running < 1.0)
}

/// Returns when a caller should come back, spread so that refused callers do
/// not return together.
fn retry_after(excess_ms: f64, rng: &mut impl rand::Rng) -> time::Duration {
    let wait = excess_ms.clamp(RETRY_MS.0, RETRY_MS.1);
    let spread = rng.random_range(0.8..1.4);
    time::Duration::from_secs_f64(wait * spread / 1_000.0)
}
