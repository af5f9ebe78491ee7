use core::time;
use std::collections;
use std::sync;
use std::sync::atomic;

use answer::{Kind, Refusal};

use crate::permit;
use crate::shard;
use crate::state;
use crate::terms;
use crate::view;
use base::clock;
use base::mutex;

/// Input for acquiring a slot for one attempt of a request.
pub(crate) struct Ask<'a> {
    pub(crate) request: &'a front::Request,
    pub(crate) terms: &'a terms::Terms,
    /// Measured from the start of the process.
    pub(crate) deadline: time::Duration,
    /// Number of earlier attempts.
    pub(crate) attempt: u16,
    /// Endpoint of the last failed attempt.
    pub(crate) avoid: Option<&'a str>,
}

/// Acquires slots at endpoints from the home hosts of shards.
#[derive(Clone)]
pub(crate) struct Broker {
    pub(crate) state: sync::Arc<state::State>,
    pub(crate) view: sync::Arc<view::View>,
    pub(crate) peers: peer::Client,
    pub(crate) clock: clock::Clock,
    pub(crate) waits: sync::Arc<Waits>,
}

/// Most recent queue wait of each shard, as seen by this host.
#[derive(Default)]
pub(crate) struct Waits {
    next_id: atomic::AtomicU64,
    last: sync::Mutex<collections::HashMap<(String, u32), time::Duration>>,
}

impl Broker {
    /// Waits until the home of a shard grants a slot at an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the home, or `UnknownModel` if the pool is not
    /// configured.
    pub(crate) async fn ask(&self, ask: &Ask<'_>) -> Result<permit::Permit, Refusal> {
        let pool = ask.request.target.pool();
        let index = self.choose_shard(pool, ask.avoid)?;
        let start = self.clock.now();
        let outcome = self.ask_homes(ask, pool, index, start).await;
        let waited = self.clock.now().saturating_sub(start);
        self.waits.record(pool, index, waited);
        outcome
    }

    async fn ask_homes(
        &self,
        ask: &Ask<'_>,
        pool: &str,
        index: u32,
        start: time::Duration,
    ) -> Result<permit::Permit, Refusal> {
        for home in self.view.homes(pool, index) {
            if home.is_self {
                return self.ask_local(ask, pool, index, start).await;
            }
            match self.ask_remote(ask, pool, index, start, &home).await {
                Some(outcome) => return outcome,
                None => continue,
            }
        }
        // If no home is reachable, this host manages the shard itself. The load
        // reports of the endpoints include the work of other hosts and so limit
        // the overcommitment.
        self.ask_local(ask, pool, index, start).await
    }

    async fn ask_local(
        &self,
        ask: &Ask<'_>,
        pool: &str,
        index: u32,
        start: time::Duration,
    ) -> Result<permit::Permit, Refusal> {
        let class = self
            .state
            .class_number(&ask.terms.class)
            .ok_or_else(|| Refusal::new(Kind::Internal, "the class is not known"))?;
        let avoid = ask.avoid.and_then(|name| self.state.endpoint_number(name));
        let shard = self.state.shard(pool, index);
        let request = ask.request;
        let (id, verdict) = shard.ask(|id, _now| pool::Request {
            id,
            class,
            team: ask.terms.team,
            caller: ask.terms.caller,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            prefix_hash: request.prefix_hash,
            fingerprint: request.fingerprint,
            deadline: ask.deadline,
            attempt: ask.attempt,
            avoid,
        });
        let mut guard = shard::Guard::new(shard.clone(), id);
        let verdict = verdict.await;
        guard.disarm();
        let grant = verdict
            .map_err(|_| Refusal::new(Kind::Internal, "the shard dropped the request"))??;
        let queued = self.clock.now().saturating_sub(start);
        Ok(permit::Permit::local(shard, id, grant, queued))
    }

    /// Asks another host; returns `None` if the next home is to be asked.
    async fn ask_remote(
        &self,
        ask: &Ask<'_>,
        pool: &str,
        index: u32,
        start: time::Duration,
        home: &view::Home,
    ) -> Option<Result<permit::Permit, Refusal>> {
        let left = ask.deadline.saturating_sub(self.clock.now());
        let id = self.waits.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let message = wire::Ask {
            pool: pool.to_owned(),
            shard: index,
            id,
            class: ask.terms.class.to_string(),
            team: ask.terms.team,
            caller: ask.terms.caller,
            prompt_tokens: ask.request.prompt_tokens,
            max_tokens: ask.request.max_tokens,
            prefix: ask.request.prefix_hash,
            fingerprint: ask.request.fingerprint,
            budget_ms: left.as_millis() as u64,
            attempt: ask.attempt,
            avoid: ask.avoid.map(str::to_owned),
        };
        match self.peers.ask(home.address, message).await {
            Ok(wire::Reply::Grant(grant)) => {
                let now = self.clock.now();
                let grant = shard::Grant {
                    name: grant.endpoint,
                    address: grant.address,
                    fence: grant.fence,
                    dispatch_by: now + time::Duration::from_millis(grant.dispatch_by_ms.into()),
                };
                let queued = now.saturating_sub(start);
                let client = self.peers.clone();
                let permit = permit::Permit::remote(client, home.address, id, grant, queued);
                Some(Ok(permit))
            }
            Ok(wire::Reply::Refusal(refusal)) => {
                let kind = Kind::from_name(&refusal.kind).unwrap_or(Kind::Internal);
                if matches!(kind, Kind::Moved | Kind::Leaving) {
                    return None;
                }
                Some(Err(Refusal {
                    kind,
                    message: refusal.message,
                    retry_after: refusal.retry_after_ms.map(time::Duration::from_millis),
                }))
            }
            // An ask has no effect at an endpoint, so it is safe to repeat
            // whether or not it was sent. The client cancels a lost one at its
            // home.
            Err(cause) => {
                log::info!(
                    target: "host",
                    "home {} of {pool}/{index} did not answer; asking the next one: {cause}",
                    home.name
                );
                None
            }
        }
    }

    /// Reports to the first two homes of each shard of the pool that the request
    /// was in flight when the connection to the endpoint broke. The home that granted
    /// the slot is skipped: it records the broken run when the grant ends.
    pub(crate) fn report_crash(&self, request: &front::Request, endpoint: &str) {
        self.report_to_homes(request, endpoint, 0);
    }

    /// Reports to the first two homes of each shard of the pool that the leading part of
    /// the prompt may have crashed the endpoint.
    pub(crate) fn report_part_crash(&self, request: &front::Request, endpoint: &str) {
        self.report_to_homes(request, endpoint, request.prefix_hash);
    }

    fn report_to_homes(&self, request: &front::Request, endpoint: &str, prefix: u64) {
        let pool = request.target.pool();
        let active = self.state.active();
        let Some(shards) = active.layout.get(pool) else {
            return;
        };
        let name = endpoint.split('@').next().unwrap_or_default();
        for (index, members) in (0..).zip(shards) {
            let is_own = prefix == 0 && members.iter().any(|member| member == name);
            let homes = self.view.homes(pool, index);
            for home in homes
                .into_iter()
                .take(view::NEAR_HOMES)
                .skip(usize::from(is_own))
            {
                let crash = wire::Crash {
                    pool: pool.to_owned(),
                    fingerprint: request.fingerprint,
                    endpoint: endpoint.to_owned(),
                    count: 1,
                    prefix,
                };
                self.report_to(&home, index, crash);
            }
        }
    }

    fn report_to(&self, home: &view::Home, index: u32, crash: wire::Crash) {
        if home.is_self {
            self.state.record_crash(index, &crash);
        } else {
            self.peers.report_crash(home.address, crash);
        }
    }

    /// Chooses the shard with the shorter last wait of two random shards.
    /// Returns the one of two random shards that had the shorter wait, or the other one
    /// if the only endpoint of that is to be avoided.
    fn choose_shard(&self, pool: &str, avoid: Option<&str>) -> Result<u32, Refusal> {
        let active = self.state.active();
        let shards = active.layout.get(pool).map_or(&[][..], Vec::as_slice);
        let count = shards.len() as u32;
        match count {
            0 => Err(Refusal::new(Kind::UnknownModel, "no such model or service")),
            1 => Ok(0),
            _ => {
                let first = rand::random_range(0..count);
                let second = (first + rand::random_range(1..count)) % count;
                if has_only(&shards[first as usize], avoid) {
                    return Ok(second);
                }
                if has_only(&shards[second as usize], avoid) {
                    return Ok(first);
                }
                Ok(self.waits.shorter(pool, first, second))
            }
        }
    }
}

/// Returns whether an endpoint is the only one of a shard.
fn has_only(members: &[String], endpoint: Option<&str>) -> bool {
    let name = endpoint.and_then(|endpoint| endpoint.split('@').next());
    matches!((members, name), ([member], Some(name)) if member == name)
}

impl Waits {
    fn record(&self, pool: &str, index: u32, waited: time::Duration) {
        let mut last = self.lock();
        last.insert((pool.to_owned(), index), waited);
    }

    fn shorter(&self, pool: &str, first: u32, second: u32) -> u32 {
        let last = self.lock();
        let wait = |index| {
            let key = (pool.to_owned(), index);
            last.get(&key).copied().unwrap_or_default()
        };
        if wait(second) < wait(first) {
            second
        } else {
            first
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<(String, u32), time::Duration>> {
        mutex::lock(&self.last)
    }
}
