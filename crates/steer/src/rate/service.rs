use core::time;
use std::collections::VecDeque;

use super::window;
use super::{Kind, PLAIN_DEFAULT_MS, PREFILL_TOKENS_PER_MS, STEP_MS, Speed};
use crate::key;

/// Most observations of one kind from which the usual speed of a service is computed.
const OBSERVATIONS_MAX: usize = 48;

/// Fewest observations of one kind from which there is a usual speed.
const OBSERVATIONS_MIN: usize = 4;

/// Observations that the constants count as. A host of a large fleet has a few long prompts
/// in a second, and some of them waited behind prompts that it does not know of.
const PRIOR_COUNT: f64 = 12.0;

/// Usual speeds of a service by kind, as logarithms; `None` where there are too few
/// observations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usual([Option<f32>; Kind::COUNT]);

impl Usual {
    pub(super) fn log(&self, kind: Kind) -> Option<f32> {
        self.0[kind.index()]
    }
}

/// Usual speed of the endpoints of a service that learns rates.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    /// Tokens of an event of a stream; 0 for services without engines.
    pub(super) event_tokens: u32,
    /// Largest number of slots of an endpoint.
    pub(super) slots: u32,
    /// Observations of any endpoint of the service, by kind.
    observations: [VecDeque<(key::Key, f32)>; Kind::COUNT],
    pub(super) usual: Usual,
    /// Median of the factors of the endpoints, as a logarithm. Endpoints of which nothing
    /// is known have it.
    pub(super) median: f32,
    /// When the factors were last computed.
    pub(super) refreshed: Option<time::Duration>,
}

/// What decisions read of a service: the number of observations instead of each.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Learned {
    event_tokens: u32,
    slots: u32,
    counts: [usize; Kind::COUNT],
    usual: [Option<f32>; Kind::COUNT],
    median: f32,
    refreshed: Option<time::Duration>,
}

impl Learned {
    /// Returns whether the speeds are as observations may show them.
    pub(crate) fn is_plausible(&self) -> bool {
        let logs = self.usual.iter().flatten().chain([&self.median]);
        logs.copied().all(super::is_plausible_log)
    }

    pub(super) fn into_service(self) -> Service {
        let list = |count: usize| {
            let none = (key::Key::default(), 0.0);
            VecDeque::from(vec![none; count.min(OBSERVATIONS_MAX)])
        };
        Service {
            event_tokens: self.event_tokens,
            slots: self.slots,
            observations: self.counts.map(list),
            usual: Usual(self.usual),
            median: self.median,
            refreshed: self.refreshed,
        }
    }
}

impl Service {
    /// Returns a copy of what decisions read.
    pub(super) fn learned(&self) -> Learned {
        Learned {
            event_tokens: self.event_tokens,
            slots: self.slots,
            counts: self.observations.each_ref().map(VecDeque::len),
            usual: self.usual.0,
            median: self.median,
            refreshed: self.refreshed,
        }
    }

    pub(super) fn observe(&mut self, key: key::Key, kind: Kind, log: f32) {
        let list = &mut self.observations[kind.index()];
        if list.len() >= OBSERVATIONS_MAX {
            list.pop_front();
        }
        list.push_back((key, log));
    }

    /// Computes the usual speed from the observations, each divided by the factor of its
    /// endpoint, so that it doesn't depend on which endpoints were observed lately.
    pub(super) fn update_usual(&mut self, factor: impl Fn(key::Key) -> f32) {
        for (usual, list) in self.usual.0.iter_mut().zip(&self.observations) {
            if list.len() < OBSERVATIONS_MIN {
                continue;
            }
            let divided = list.iter().map(|(key, log)| (log - factor(*key), 1.0));
            *usual = window::median(&mut divided.collect::<Vec<_>>()).map(|(log, _)| log);
        }
    }

    /// Returns the usual speed of an endpoint whose factor is 1.
    pub(super) fn speed(&self) -> Speed {
        let factor = |kind: Kind| {
            let count = self.observations[kind.index()].len() as f64;
            let log = f64::from(self.usual.log(kind).unwrap_or(0.0));
            (log * count / (count + PRIOR_COUNT)).exp()
        };
        Speed {
            tokens_per_ms: PREFILL_TOKENS_PER_MS * factor(Kind::Prefill),
            plain_ms: PLAIN_DEFAULT_MS / factor(Kind::Plain),
        }
    }

    /// Returns the usual time of a step in milliseconds: the one of the loads that were
    /// observed most.
    pub(super) fn step_ms(&self) -> f64 {
        let kinds = [0, 1, 2].map(Kind::Step);
        let most = kinds
            .into_iter()
            .max_by_key(|kind| self.observations[kind.index()].len());
        let log = most.and_then(|kind| self.usual.log(kind)).unwrap_or(0.0);
        STEP_MS / f64::from(log).exp()
    }
}
