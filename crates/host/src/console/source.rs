use std::sync;

use crate::config;
use crate::console::lists;
use crate::console::orders;
use crate::keyed;
use crate::state;
use crate::view;
use base::clock;

/// Source of the administration API: the state of this host alone.
pub(crate) struct Console {
    pub(crate) clock: clock::Clock,
    pub(crate) state: sync::Arc<state::State>,
    pub(crate) view: sync::Arc<view::View>,
    pub(crate) keyed: sync::Arc<keyed::Runner>,
    pub(crate) config: sync::Arc<config::Store>,
    pub(crate) peers: peer::Client,
}

impl Console {
    /// Returns the rejected configuration revision, if there is one.
    fn refused(&self) -> Option<admin::Rejection> {
        let rejection = self.config.last_rejection()?;
        Some(admin::Rejection {
            revision: rejection.revision,
            reason: rejection.reason,
        })
    }

    /// Returns whether this host holds its lease; `None` if it is not an owner.
    fn lease(&self, name: &str) -> Option<bool> {
        let active = self.state.active();
        let owners = &active.settings.once.owners;
        let is_owner = owners.iter().any(|owner| owner == name);
        is_owner.then(|| self.keyed.holds_lease())
    }

    /// Returns the revision in force and the hexadecimal digest of its files.
    fn version(&self) -> (u64, String) {
        let (revision, content) = self.config.in_force();
        let content = match revision {
            0 => self.state.printed().content,
            _ => content,
        };
        (revision, hex(&content))
    }
}

impl admin::Source for Console {
    fn keys(&self) -> sync::Arc<admin::Keys> {
        let active = self.state.active();
        let keys = &active.settings.admin;
        sync::Arc::new(admin::Keys {
            read: keys.read_key_hashes.clone(),
            operate: keys.operate_key_hashes.clone(),
        })
    }

    fn status(&self) -> admin::Status {
        let now = self.clock.now();
        let (own, hosts) = self.view.with(|membership| {
            let own = membership.own().clone();
            (own, membership.live().len() as u64)
        });
        let (revision, content) = self.version();
        let shards = lists::home_shards(self) as u64;
        admin::Status {
            incarnation: own.incarnation,
            version: env!("CARGO_PKG_VERSION").to_owned(),
            leaving: own.phase == fleet::Phase::Leaving,
            uptime_ms: millis(now),
            revision,
            content,
            revision_age_ms: millis(now.saturating_sub(self.state.printed().at)),
            refused: self.refused(),
            platform_ms: self
                .config
                .platform_at()
                .map(|at| millis(now.saturating_sub(at))),
            hosts,
            shards,
            requests: self.state.records().count_open() as u64,
            lease: self.lease(&own.name),
            name: own.name,
            data_centre: own.data_centre,
            region: own.region,
        }
    }

    fn settings(&self) -> admin::Settings {
        let (revision, content) = self.version();
        admin::Settings {
            revision,
            content,
            entries: self.state.printed().entries.clone(),
        }
    }

    fn hosts(&self) -> Vec<admin::Host> {
        lists::hosts(self)
    }

    fn endpoints(&self) -> Vec<admin::Endpoint> {
        lists::endpoints(self)
    }

    fn classes(&self) -> Vec<admin::Class> {
        lists::classes(self)
    }

    fn teams(&self) -> Vec<admin::Team> {
        lists::teams(self)
    }

    fn requests(&self, limit: usize) -> Vec<admin::Request> {
        lists::requests(self, limit)
    }

    fn explain(&self, request: &str) -> Option<admin::Explanation> {
        let entry = self.state.records().find(request)?;
        let host = self.view.with(|membership| membership.own().name.clone());
        let step = |step: crate::record::Step| admin::Step {
            at_ms: millis(step.at),
            host: host.clone(),
            event: step.event.to_owned(),
            detail: step.detail,
        };
        Some(admin::Explanation {
            request: entry.id,
            steps: entry.steps.into_iter().map(step).collect(),
        })
    }

    fn burn(&self) -> burn::Snapshot {
        self.state.records().snapshot()
    }

    fn drain(&self, order: &admin::Drain) -> Result<admin::Drained, answer::Refusal> {
        orders::set(self, order, true)
    }

    fn undrain(&self, order: &admin::Drain) -> Result<admin::Drained, answer::Refusal> {
        orders::set(self, order, false)
    }
}

pub(super) fn millis(time: core::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
