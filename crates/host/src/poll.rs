use core::time;
use std::collections;
use std::sync;

use crate::inbound;
use crate::keyed;
use crate::shard;
use crate::state;
use crate::view;
use base::clock;

/// Period of the periodic work of the policies.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(20);
/// Period of the work for idempotency keys and for hosts that have stopped.
const HOUSEKEEPING_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Period of load polls per endpoint.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(500);
/// Longest wait for a load report; shorter than [`POLL_PERIOD`].
const POLL_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Runs the periodic work of all shards until the task is aborted.
pub(crate) async fn tick(state: sync::Arc<state::State>) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        for (_, shard) in state.shards() {
            shard.tick();
        }
    }
}

/// Runs the periodic work for idempotency keys and withdraws the asks of hosts
/// that have stopped, until the task is aborted.
pub(crate) async fn housekeeping(
    keyed: sync::Arc<keyed::Runner>,
    inbound: sync::Arc<inbound::Inbound>,
) {
    let mut interval = tokio::time::interval(HOUSEKEEPING_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        keyed.tick();
        inbound.sweep();
    }
}

/// Polls the load of endpoints until the task is aborted.
///
/// Covers the shards that this host is the home of and those with asks that are
/// queued or granted here.
pub(crate) async fn loads(
    state: sync::Arc<state::State>,
    view: sync::Arc<view::View>,
    client: back::Client,
    clock: clock::Clock,
) {
    let mut interval = tokio::time::interval(POLL_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut pending = tokio::task::JoinSet::new();
    let mut busy = collections::HashSet::new();
    loop {
        interval.tick().await;
        while let Some(ended) = pending.try_join_next() {
            if let Ok(id) = ended {
                busy.remove(&id);
            }
        }
        for (key, shard) in state.shards() {
            let is_home = view.is_home(&key.0, key.1);
            shard.set_home(is_home);
            if !is_home && !shard.is_busy() {
                continue;
            }
            for member in shard.members() {
                // At most one poll per endpoint is pending.
                if busy.insert(member.endpoint.id) {
                    pending.spawn(poll(shard.clone(), member, client.clone(), clock));
                }
            }
        }
    }
}

/// Polls the load of one endpoint and returns its id.
async fn poll(
    shard: sync::Arc<shard::Shard>,
    member: shard::Member,
    client: back::Client,
    clock: clock::Clock,
) -> pool::EndpointId {
    let id = member.endpoint.id;
    let sent = clock.now();
    let Ok(Ok(load)) = tokio::time::timeout(POLL_TIMEOUT, client.load(member.address)).await else {
        log::debug!(target: "host", "no load report from endpoint {}", member.name);
        return id;
    };
    let age = match load.at_ms {
        0 => time::Duration::ZERO,
        at => time::Duration::from_millis(clock::Clock::wall_ms().saturating_sub(at)),
    };
    let report = pool::Load {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        is_draining: load.draining,
        at: sent.saturating_sub(age),
    };
    shard.record_load(id, report);
    id
}
