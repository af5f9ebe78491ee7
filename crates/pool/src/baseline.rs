//! Baseline for comparisons: first come, first served with round robin.

use core::time;
use std::collections;

use crate::action::Action;
use crate::endpoint;
use crate::finish;
use crate::load;
use crate::options;
use crate::policy;
use crate::request;
use crate::stats;

/// An endpoint and its number of running requests.
struct Entry {
    endpoint: endpoint::Endpoint,
    in_flight: u32,
}

/// Grants requests in order of arrival to the endpoints in turn.
///
/// Ignores load reports, latency targets, tiers and teams.
pub struct Baseline {
    queue: collections::VecDeque<request::Request>,
    queue_max: usize,
    endpoints: Vec<Entry>,
    running: collections::HashMap<request::RequestId, endpoint::EndpointId>,
    next: usize,
}

impl Baseline {
    /// Returns a policy without endpoints.
    pub fn new(options: &options::Options) -> Self {
        Self {
            queue: collections::VecDeque::new(),
            queue_max: options.queue_max,
            endpoints: Vec::new(),
            running: collections::HashMap::new(),
            next: 0,
        }
    }

    fn next_free(&mut self) -> Option<usize> {
        let count = self.endpoints.len();
        let found = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|&index| {
                let entry = &self.endpoints[index];
                entry.endpoint.phase == endpoint::Phase::Up
                    && entry.in_flight < entry.endpoint.slots
            })?;
        self.next = (found + 1) % count;
        Some(found)
    }

    fn dispatch(&mut self, now: time::Duration, out: &mut Vec<Action>) {
        self.expire(now, out);
        while !self.queue.is_empty() {
            let Some(index) = self.next_free() else {
                return;
            };
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            let entry = &mut self.endpoints[index];
            entry.in_flight += 1;
            self.running.insert(request.id, entry.endpoint.id);
            out.push(Action::Grant {
                request: request.id,
                endpoint: entry.endpoint.id,
            });
        }
    }

    fn expire(&mut self, now: time::Duration, out: &mut Vec<Action>) {
        self.queue.retain(|request| {
            let is_valid = request.deadline > now;
            if !is_valid {
                out.push(refuse(request.id, answer::Kind::Expired));
            }
            is_valid
        });
    }
}

impl policy::Policy for Baseline {
    fn configure(&mut self, _now: time::Duration, options: options::Options) {
        self.queue_max = options.queue_max;
    }

    fn set_endpoints(
        &mut self,
        now: time::Duration,
        set: &[endpoint::Endpoint],
        out: &mut Vec<Action>,
    ) {
        let running = &self.running;
        self.endpoints = set
            .iter()
            .map(|&endpoint| Entry {
                endpoint,
                in_flight: running.values().filter(|&&id| id == endpoint.id).count() as u32,
            })
            .collect();
        self.next = 0;
        self.dispatch(now, out);
    }

    fn submit(&mut self, now: time::Duration, request: request::Request, out: &mut Vec<Action>) {
        if self.queue.len() >= self.queue_max {
            out.push(refuse(request.id, answer::Kind::Overload));
            return;
        }
        self.queue.push_back(request);
        self.dispatch(now, out);
    }

    fn cancel(&mut self, _now: time::Duration, id: request::RequestId, _out: &mut Vec<Action>) {
        self.queue.retain(|request| request.id != id);
    }

    fn record_first_output(&mut self, _now: time::Duration, _id: request::RequestId) {}

    fn finish(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        _finish: finish::Finish,
        out: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.running.remove(&id) else {
            return;
        };
        let entry = self
            .endpoints
            .iter_mut()
            .find(|entry| entry.endpoint.id == endpoint);
        if let Some(entry) = entry {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
        self.dispatch(now, out);
    }

    fn record_load(
        &mut self,
        _now: time::Duration,
        _id: endpoint::EndpointId,
        _load: load::Load,
        _out: &mut Vec<Action>,
    ) {
    }

    fn tick(&mut self, now: time::Duration, out: &mut Vec<Action>) {
        self.dispatch(now, out);
    }

    fn stats(&self, _now: time::Duration) -> stats::Stats {
        stats::Stats {
            queued: vec![self.queue.len()],
            in_flight: self
                .endpoints
                .iter()
                .map(|entry| (entry.endpoint.id.0, entry.in_flight))
                .collect(),
            wait: time::Duration::ZERO,
        }
    }
}

fn refuse(request: request::RequestId, kind: answer::Kind) -> Action {
    Action::Refuse {
        request,
        kind,
        retry_after: Some(RETRY_AFTER),
    }
}

/// Retry delay that every refusal advises.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
