use std::collections;

use crate::balancer;
use crate::cold;
use crate::endpoint;
use crate::pause;
use crate::quota;

/// Most processes that are kept.
const PROCESSES_MAX: usize = 256;

/// What a process that is no longer listed has said of itself.
#[derive(Clone, Debug)]
struct Process {
    listed: plan::Endpoint,
    is_leaving: bool,
    pause: pause::Pause,
    quota: quota::Quota,
    cold: cold::Cold,
}

/// Processes that are no longer listed, oldest first. An older list may name one of
/// them again, which says no more than it did before.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departed(collections::VecDeque<Process>);

impl Departed {
    /// Keeps what an endpoint has said before it is removed.
    pub(crate) fn keep(&mut self, endpoint: &endpoint::Endpoint) {
        if self.0.len() >= PROCESSES_MAX {
            self.0.pop_front();
        }
        self.0.push_back(Process {
            listed: endpoint.listed.clone(),
            is_leaving: endpoint.is_leaving,
            pause: endpoint.pause,
            quota: endpoint.quota,
            cold: endpoint.cold,
        });
    }

    /// Gives an endpoint that is listed anew what the same process has said.
    pub(crate) fn restore(&mut self, endpoint: &mut endpoint::Endpoint) {
        let listed = &endpoint.listed;
        let is_same = |known: &Process| {
            // Without its start, a process cannot be told from the next one.
            known.listed.id == listed.id
                && listed.started_ms != 0
                && balancer::is_same_process(&known.listed, listed)
        };
        let Some(place) = self.0.iter().rposition(is_same) else {
            return;
        };
        if let Some(known) = self.0.remove(place) {
            endpoint.is_leaving = known.is_leaving;
            endpoint.pause = known.pause;
            endpoint.quota = known.quota;
            endpoint.cold = known.cold;
        }
    }
}
