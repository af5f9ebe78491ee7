use core::time;
use std::collections;

use rand::seq::IteratorRandom;

use crate::work;

/// Time for which a placement is published. Hosts of other data centres receive
/// only some of the datagrams.
const PUBLISH_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Largest number of placements in one message.
const PLACEMENTS_MAX: usize = 40;

/// A shared prompt part and the endpoint to which a host has sent it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Placement {
    /// Identifier of the part.
    pub part: u64,
    /// Tokens of the part.
    pub tokens: u32,
    /// Hash of the endpoint's id.
    pub endpoint: u32,
}

/// Time for which a placement of another host is passed on.
const RELAY_TIME: time::Duration = time::Duration::from_millis(900);

/// Largest number of placements of other hosts that are stored.
const RELAYED_MAX: usize = 200;

/// Recent placements, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements {
    own: collections::VecDeque<(Placement, time::Duration)>,
    /// Placements of other hosts of the own data centre.
    relayed: collections::VecDeque<(Placement, time::Duration)>,
}

impl Placements {
    pub(crate) fn record(&mut self, now: time::Duration, part: work::Part, endpoint: u32) {
        let placement = Placement {
            part: part.id,
            tokens: part.tokens,
            endpoint,
        };
        self.own.retain(|(known, _)| *known != placement);
        self.own.push_back((placement, now));
        if self.own.len() > PLACEMENTS_MAX {
            self.own.pop_front();
        }
    }

    pub(crate) fn recent(&self, now: time::Duration) -> Vec<Placement> {
        self.own
            .iter()
            .filter(|(_, at)| now.saturating_sub(*at) < PUBLISH_TIME)
            .map(|(placement, _)| *placement)
            .collect()
    }

    pub(crate) fn relay(&mut self, now: time::Duration, placement: Placement) {
        // Hosts publish each placement several times.
        if self.relayed.iter().any(|(known, _)| *known == placement) {
            return;
        }
        self.relayed.push_back((placement, now));
        if self.relayed.len() > RELAYED_MAX {
            self.relayed.pop_front();
        }
    }

    /// Returns a random sample of the recent placements of the own data centre.
    /// Hosts of other data centres receive different samples, which together
    /// cover more placements than one message holds.
    pub(crate) fn sample(&self, now: time::Duration, rng: &mut impl rand::Rng) -> Vec<Placement> {
        let relayed = self
            .relayed
            .iter()
            .filter(|(_, at)| now.saturating_sub(*at) < RELAY_TIME)
            .map(|(placement, _)| *placement);
        let all = self.recent(now).into_iter().chain(relayed);
        all.sample(rng, PLACEMENTS_MAX)
    }
}
