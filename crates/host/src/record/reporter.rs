use core::time;
use std::sync;

use crate::config;
use crate::state;
use crate::view;

/// Period of the metrics about the host.
const PERIOD: time::Duration = time::Duration::from_secs(10);

/// Sends the metrics about the host until the task is aborted.
pub(crate) async fn send_host_metrics(
    state: sync::Arc<state::State>,
    view: sync::Arc<view::View>,
    config: sync::Arc<config::Store>,
) {
    let mut interval = tokio::time::interval(PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reported = 0;
    loop {
        interval.tick().await;
        let asks = state.shards().iter().map(|(_, shard)| shard.asks()).sum();
        let peers = view.with(|membership| membership.live().len()) as u64;
        let added = u64::saturating_sub(asks, reported);
        reported = asks;
        state
            .records()
            .send_host_metrics(added, peers, config.revision());
    }
}
