use core::time;
use std::sync;

use crate::config;
use crate::keyed;
use crate::view;

/// Longest duration of one long-poll watch at the platform.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(20);
/// Period in which a host that receives revisions from its peers checks whether
/// it has to ask the platform itself.
const FOLLOW_PERIOD: time::Duration = time::Duration::from_millis(250);
/// Upper bound of the random pause after an answer with a configuration.
const ANSWER_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Base period between reads of the platform's list of hosts. The pause is
/// random between one and two periods.
const LIST_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Reads the configuration and the list of hosts from the platform.
#[derive(Clone)]
pub(crate) struct Watcher {
    pub(crate) platform: peer::platform::Client,
    pub(crate) config: sync::Arc<config::Store>,
    pub(crate) keyed: sync::Arc<keyed::Runner>,
    pub(crate) view: sync::Arc<view::View>,
}

impl Watcher {
    /// Watches the configuration until the task is aborted.
    pub(crate) async fn watch_config(self) {
        loop {
            match self.config.next() {
                fleet::Action::Watch => self.read(WATCH_WAIT).await,
                fleet::Action::Read => self.read(time::Duration::ZERO).await,
                fleet::Action::Follow => tokio::time::sleep(FOLLOW_PERIOD).await,
            }
        }
    }

    /// Polls the list of hosts until the task is aborted.
    pub(crate) async fn poll_hosts(self) {
        loop {
            match self.platform.hosts().await {
                Ok(hosts) => self.view.apply_platform_list(&hosts),
                Err(cause) => {
                    log::debug!(
                        target: "host",
                        "cannot read the list of hosts from the platform: {cause}"
                    );
                }
            }
            tokio::time::sleep(LIST_PERIOD + jitter(LIST_PERIOD)).await;
        }
    }

    async fn read(&self, wait: time::Duration) {
        match self.platform.config(self.config.revision(), wait).await {
            Ok(None) => self.config.record_platform_answer(),
            Ok(Some(config)) => {
                self.config.record_platform_answer();
                self.config
                    .offer(&self.keyed, config.revision, config.files);
                // A platform with a stale configuration answers a watch at once;
                // the pause keeps that from becoming a busy loop.
                tokio::time::sleep(jitter(ANSWER_PAUSE)).await;
            }
            Err(cause) => {
                log::debug!(
                    target: "host",
                    "cannot read the configuration from the platform: {cause}"
                );
                self.config.record_platform_failure();
            }
        }
    }
}

/// Returns a random duration below `upper`.
fn jitter(upper: time::Duration) -> time::Duration {
    upper.mul_f64(rand::random::<f64>())
}
