use core::time;
use std::sync;

use crate::config;
use crate::keyed;
use crate::view;

/// Longest wait of a watch at the platform.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(20);
/// Period in which a host that follows its peers looks at its role again.
const FOLLOW_PERIOD: time::Duration = time::Duration::from_millis(250);
/// Upper bound of the pause after an answer with a configuration.
const ANSWER_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Period in which a host reads the platform's list of hosts.
const LIST_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Follows the platform's configuration and list of hosts.
#[derive(Clone)]
pub(crate) struct Watcher {
    pub(crate) platform: peer::platform::Client,
    pub(crate) config: sync::Arc<config::Store>,
    pub(crate) keyed: sync::Arc<keyed::Runner>,
    pub(crate) view: sync::Arc<view::View>,
}

impl Watcher {
    /// Follows the configuration until the task is aborted.
    pub(crate) async fn watch_config(self) {
        loop {
            match self.config.next() {
                fleet::Action::Watch => self.read(WATCH_WAIT).await,
                fleet::Action::Read => self.read(time::Duration::ZERO).await,
                fleet::Action::Follow => tokio::time::sleep(FOLLOW_PERIOD).await,
            }
        }
    }

    /// Reads the list of hosts until the task is aborted.
    pub(crate) async fn poll_hosts(self) {
        loop {
            match self.platform.hosts().await {
                Ok(hosts) => self.view.apply_platform_list(&hosts),
                Err(cause) => {
                    log::debug!(target: "host", "the platform's list of hosts was not read: {cause}");
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
                // A stale platform answers a watch at once.
                tokio::time::sleep(jitter(ANSWER_PAUSE)).await;
            }
            Err(cause) => {
                log::debug!(target: "host", "the platform's configuration was not read: {cause}");
                self.config.record_platform_failure();
            }
        }
    }
}

fn jitter(upper: time::Duration) -> time::Duration {
    upper.mul_f64(rand::random::<f64>())
}
