use core::time;
use std::collections;

use crate::need;

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

/// The newest own placements.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements {
    newest: collections::VecDeque<(Placement, time::Duration)>,
}

impl Placements {
    pub(crate) fn note(&mut self, now: time::Duration, part: need::Part, endpoint: u32) {
        let placement = Placement {
            part: part.id,
            tokens: part.tokens,
            endpoint,
        };
        self.newest.retain(|(known, _)| *known != placement);
        self.newest.push_back((placement, now));
        if self.newest.len() > PLACEMENTS_MAX {
            self.newest.pop_front();
        }
    }

    pub(crate) fn tell(&self, now: time::Duration) -> Vec<Placement> {
        self.newest
            .iter()
            .filter(|(_, at)| now.saturating_sub(*at) < TELL_TIME)
            .map(|(placement, _)| *placement)
            .collect()
    }
}
