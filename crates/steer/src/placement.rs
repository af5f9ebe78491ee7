use core::time;
use std::collections;

use rand::seq::IteratorRandom;

use crate::work;

/// Time for which a placement is told. Hosts far away hear only some of the
/// datagrams.
const TELL_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Placements in one message.
const PLACEMENTS_MAX: usize = 40;

/// A prompt part that a host has sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Placement {
    /// Identifier of the part.
    pub part: u64,
    /// Tokens of the part.
    pub tokens: u32,
    /// Hash of the endpoint's id.
    pub endpoint: u32,
}

/// Time for which a placement of another host is told.
const RELAY_TIME: time::Duration = time::Duration::from_millis(900);

/// Placements of other hosts that are kept.
const RELAYED_MAX: usize = 200;

/// The newest placements.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements {
    own: collections::VecDeque<(Placement, time::Duration)>,
    /// Those of other hosts of the data centre.
    near: collections::VecDeque<(Placement, time::Duration)>,
}

impl Placements {
    pub(crate) fn note(&mut self, now: time::Duration, part: work::Part, endpoint: u32) {
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

    pub(crate) fn tell(&self, now: time::Duration) -> Vec<Placement> {
        self.own
            .iter()
            .filter(|(_, at)| now.saturating_sub(*at) < TELL_TIME)
            .map(|(placement, _)| *placement)
            .collect()
    }

    pub(crate) fn relay(&mut self, now: time::Duration, placement: Placement) {
        // Each is told several times.
        if self.near.iter().any(|(known, _)| *known == placement) {
            return;
        }
        self.near.push_back((placement, now));
        if self.near.len() > RELAYED_MAX {
            self.near.pop_front();
        }
    }

    /// Returns a random choice of the placements of the data centre. The hosts
    /// of another one hear different choices.
    pub(crate) fn tell_near(
        &self,
        now: time::Duration,
        rng: &mut impl rand::Rng,
    ) -> Vec<Placement> {
        let near = self
            .near
            .iter()
            .filter(|(_, at)| now.saturating_sub(*at) < RELAY_TIME)
            .map(|(placement, _)| *placement);
        let all = self.tell(now).into_iter().chain(near);
        all.sample(rng, PLACEMENTS_MAX)
    }
}
