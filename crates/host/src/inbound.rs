use core::time;
use std::collections;
use std::net;
use std::sync;

use answer::Kind;

use crate::config;
use crate::keyed;
use crate::permit;
use crate::shard;
use crate::state;
use crate::view;
use base::clock;
use base::mutex;

/// Time-out of a connection that confirms that an endpoint cannot be reached.
const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time for which an endpoint is granted to nobody while its failure is confirmed. A
/// refused connection shows within milliseconds.
const CONFIRM_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Identity of an ask across hosts: name and incarnation of the host that asks,
/// and the id that it assigned.
type Key = (sync::Arc<str>, u64, u64);

/// An ask of another host that is queued or granted.
struct Pending {
    shard: sync::Arc<shard::Shard>,
    id: pool::RequestId,
    /// Address of the endpoint, once granted.
    address: Option<net::SocketAddr>,
}

/// Handles the calls of other hosts.
pub(crate) struct Inbound {
    state: sync::Arc<state::State>,
    view: sync::Arc<view::View>,
    keyed: sync::Arc<keyed::Runner>,
    config: sync::Arc<config::Store>,
    clock: clock::Clock,
    pending: sync::Arc<Table>,
}

#[derive(Default)]
struct Table(sync::Mutex<collections::HashMap<Key, Pending>>);

impl Inbound {
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        view: &sync::Arc<view::View>,
        keyed: &sync::Arc<keyed::Runner>,
        config: &sync::Arc<config::Store>,
        clock: clock::Clock,
    ) -> Self {
        Self {
            state: state.clone(),
            view: view.clone(),
            keyed: keyed.clone(),
            config: config.clone(),
            clock,
            pending: sync::Arc::default(),
        }
    }

    /// Withdraws the asks of hosts that are dead or were replaced, which frees
    /// their slots.
    pub(crate) fn sweep(&self) {
        let mut abandoned = Vec::new();
        {
            let mut pending = self.pending.lock();
            pending.retain(|key, ask| {
                let keep = !self.view.has_ended(&key.0, key.1);
                if !keep {
                    abandoned.push((ask.shard.clone(), ask.id));
                }
                keep
            });
        }
        for (shard, id) in abandoned {
            // The ask may still be queued here.
            shard.abandon(id, pool::Outcome::Cancelled);
        }
    }

    fn queue(&self, key: &Key, ask: &wire::Ask) -> Result<Queued, Kind> {
        if self.view.is_leaving() {
            return Err(Kind::Leaving);
        }
        let active = self.state.active();
        let known = active
            .layout
            .get(&ask.pool)
            .is_some_and(|shards| (ask.shard as usize) < shards.len());
        // The two hosts have different revisions in force for a short time.
        let class = self.state.class_number(&ask.class);
        let (true, Some(class)) = (known, class) else {
            return Err(Kind::Moved);
        };
        let shard = self.state.shard(&ask.pool, ask.shard);
        let avoid = ask
            .avoid
            .as_deref()
            .and_then(|name| self.state.endpoint_number(name));
        let (id, verdict) = shard.ask(|id, now| pool::Request {
            id,
            class,
            team: ask.team,
            caller: ask.caller,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            prefix_hash: ask.prefix,
            fingerprint: ask.fingerprint,
            deadline: now + time::Duration::from_millis(ask.budget_ms),
            attempt: ask.attempt,
            avoid,
        });
        let pending = Pending {
            shard: shard.clone(),
            id,
            address: None,
        };
        self.pending.lock().insert(key.clone(), pending);
        Ok(Queued { shard, id, verdict })
    }
}

/// An ask in the queue of a shard, with the receiver of its verdict.
struct Queued {
    shard: sync::Arc<shard::Shard>,
    id: pool::RequestId,
    verdict: tokio::sync::oneshot::Receiver<shard::Verdict>,
}

impl Table {
    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<Key, Pending>> {
        mutex::lock(&self.0)
    }

    fn take(&self, from: &peer::Origin, id: u64) -> Option<Pending> {
        let key = (from.name.clone(), from.incarnation, id);
        self.lock().remove(&key)
    }
}

impl peer::Handler for Inbound {
    fn ask(&self, from: &peer::Origin, ask: wire::Ask) -> peer::Future<wire::Reply> {
        let key = (from.name.clone(), from.incarnation, ask.id);
        let start = self.clock.now();
        let queued = match self.queue(&key, &ask) {
            Ok(queued) => queued,
            Err(kind) => {
                let refusal = wire::Refusal::new(kind.entry().name, "ask the next host");
                return Box::pin(core::future::ready(wire::Reply::Refusal(refusal)));
            }
        };
        let (pending, clock, view) = (self.pending.clone(), self.clock, self.view.clone());
        Box::pin(async move {
            let mut guard = shard::Guard::new(queued.shard.clone(), queued.id);
            let verdict = tokio::select! {
                biased;
                verdict = queued.verdict => verdict,
                // Queued asks continue at the next home.
                () = view.wait_until_leaving() => {
                    pending.lock().remove(&key);
                    let kind = Kind::Moved.entry().name;
                    return wire::Reply::Refusal(wire::Refusal::new(kind, "the host is leaving"));
                }
            };
            guard.disarm();
            let now = clock.now();
            let wait_ms = now.saturating_sub(start).as_millis() as u32;
            match verdict {
                Ok(Ok(grant)) => {
                    if let Some(ask) = pending.lock().get_mut(&key) {
                        ask.address = Some(grant.address);
                    }
                    wire::Reply::Grant(wire::Grant {
                        endpoint: grant.name,
                        address: grant.address,
                        fence: grant.fence,
                        dispatch_by_ms: grant.dispatch_by.saturating_sub(now).as_millis() as u32,
                        wait_ms,
                    })
                }
                Ok(Err(refusal)) => {
                    pending.lock().remove(&key);
                    wire::Reply::Refusal(wire::Refusal {
                        kind: refusal.kind.entry().name.to_owned(),
                        message: refusal.message,
                        retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
                        wait_ms,
                    })
                }
                Err(_) => {
                    pending.lock().remove(&key);
                    let kind = Kind::Internal.entry().name;
                    wire::Reply::Refusal(wire::Refusal::new(kind, "the shard dropped the request"))
                }
            }
        })
    }

    fn cancel(&self, from: &peer::Origin, id: u64) {
        if let Some(pending) = self.pending.take(from, id) {
            pending.shard.abandon(pending.id, pool::Outcome::Unused);
        }
    }

    fn first_output(&self, from: &peer::Origin, id: u64) {
        let key = (from.name.clone(), from.incarnation, id);
        let found = self
            .pending
            .lock()
            .get(&key)
            .map(|pending| (pending.shard.clone(), pending.id));
        if let Some((shard, id)) = found {
            shard.record_first_output(id);
        }
    }

    fn done(&self, from: &peer::Origin, done: wire::Done) {
        if let Some(pending) = self.pending.take(from, done.id) {
            let pause = time::Duration::from_millis(done.pause_ms.into());
            pending.shard.pause(pending.id, pause);
            match (permit::from_wire(&done), pending.address) {
                (pool::Outcome::Unreachable, Some(address)) => {
                    // The next attempt must not be granted the same endpoint meanwhile.
                    pending.shard.pause(pending.id, CONFIRM_PAUSE);
                    tokio::spawn(confirm(from.name.clone(), pending, address));
                }
                (result, _) => release(&pending.shard, pending.id, result, done.tokens),
            }
        }
    }

    fn run(&self, _from: &peer::Origin, run: wire::Run) -> peer::Future<wire::Outcome> {
        let keyed = self.keyed.clone();
        Box::pin(async move { keyed.run_forwarded(run).await })
    }

    fn fetch(&self, _from: &peer::Origin, fetch: wire::Fetch) -> peer::Future<wire::Files> {
        let files = self.config.files_for(&fetch);
        Box::pin(core::future::ready(files))
    }

    fn crash(&self, from: &peer::Origin, crash: wire::Crash) {
        log::info!(
            target: "host",
            "host {} reported a request that was in flight when endpoint {} failed",
            from.name,
            crash.endpoint
        );
        let count = self
            .state
            .active()
            .layout
            .get(&crash.pool)
            .map_or(0, Vec::len);
        for index in 0..count as u32 {
            // A shard without requests so far is created, because it must count
            // the crash as well.
            if self.view.is_near_home(&crash.pool, index) {
                self.state.record_crash(index, &crash);
            }
        }
    }

    fn leave(&self, from: &peer::Origin) {
        log::info!(target: "host", "host {} is leaving", from.name);
        self.view.mark_leaving(&from.name, from.incarnation);
    }

    fn link_ended(&self, from: &peer::Origin) {
        // Grants are kept: the host may still be running and so may its streams.
        // They are freed when the membership marks the host as dead.
        log::debug!(target: "host", "link from host {} closed", from.name);
    }
}

/// Ends an ask whose host could not connect to the endpoint. The links of that host may
/// have failed, so the endpoint counts as unreachable only if this host does not reach
/// it either.
async fn confirm(from: sync::Arc<str>, pending: Pending, address: net::SocketAddr) {
    let connecting = tokio::net::TcpStream::connect(address);
    let connected = tokio::time::timeout(CONFIRM_TIMEOUT, connecting).await;
    let result = match connected {
        Ok(Ok(_)) => {
            log::info!(
                target: "host",
                "host {from} did not reach the endpoint at {address}, which this host reaches"
            );
            pool::Outcome::Unused
        }
        Ok(Err(_)) | Err(_) => pool::Outcome::Unreachable,
    };
    release(&pending.shard, pending.id, result, 0);
}

fn release(shard: &shard::Shard, id: pool::RequestId, result: pool::Outcome, tokens: u32) {
    shard.finish(
        id,
        pool::Finish {
            outcome: result,
            tokens,
        },
    );
}
