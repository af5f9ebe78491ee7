use core::time::Duration;

use pool::{Finish, RequestId};
use rand::RngExt;

use super::{Event, Message, TICK_PERIOD, World, request_of, setup};

/// Age from which an ended grant affects no report any more.
const HISTORY_LENGTH: Duration = Duration::from_secs(5);

impl World {
    /// Marks requests of higher classes that wait at other hosts while a request of
    /// this class is served.
    pub(super) fn mark_inversions(&mut self, now: Duration, host: usize, class: u16) {
        // Requests that have just arrived may be in transit to the home.
        let before = now.saturating_sub(TICK_PERIOD);
        for request in &mut self.requests {
            if request.at > before {
                break;
            }
            if request.class < class && request.host != host && request.is_waiting(now) {
                request.is_inverted = true;
            }
        }
    }

    /// Compares the requests at an endpoint with the batch, and with the batch plus
    /// the requests that the home's last report could not include.
    pub(super) fn check_batch(&mut self, now: Duration, home: usize, endpoint: usize) {
        let held = self.engines[endpoint].in_flight;
        self.tally
            .start(held.saturating_sub(setup::BATCH), self.is_partitioned(now));
        let report = self.grant_reports[home][endpoint];
        if report > Duration::ZERO {
            let age = &mut self.tally.report_age_max;
            *age = now.saturating_sub(report).max(*age);
        }
        let grants = &self.grants;
        let old = now.saturating_sub(HISTORY_LENGTH);
        self.recent[endpoint].retain(|id| !grants[id].is_settled(old));
        let recent = self.recent[endpoint].iter().map(|id| &grants[id]);
        let unreported = recent
            .filter(|grant| grant.is_unreported(home, report, now))
            .count();
        let bound = setup::BATCH + unreported as u32;
        self.tally.beyond_bound = self.tally.beyond_bound.max(held.saturating_sub(bound));
    }

    pub(super) fn first(&mut self, now: Duration, id: RequestId) {
        let request = &mut self.requests[request_of(id)];
        if request.outcomes == 0 {
            request.first = Some(now);
            let (host, home) = (request.host, request.home);
            self.send(now, host, home, Message::First(id));
        }
    }

    pub(super) fn done(&mut self, now: Duration, id: RequestId) {
        let index = request_of(id);
        if self.requests[index].outcomes > 0 {
            return;
        }
        self.leave_engine(now, id);
        self.add_outcome(index);
        let request = &self.requests[index];
        let finish = Finish {
            outcome: pool::Outcome::Complete,
            tokens: request.output,
        };
        let (host, home) = (request.host, request.home);
        self.send(now, host, home, Message::Done(id, finish));
    }

    pub(super) fn leave_engine(&mut self, now: Duration, id: RequestId) {
        let grant = self.grants.get_mut(&id).expect("granted");
        grant.ended = Some(now);
        let endpoint = grant.endpoint;
        let engine = &mut self.engines[endpoint];
        engine.in_flight -= 1;
        if let Some((next, output)) = engine.finish(id) {
            let noise = self.rng.random_range(0.9..1.1);
            let (first, end) = self.engines[endpoint].begin(now, output, noise);
            self.schedule(first, Event::First(next));
            self.schedule(end, Event::Done(next));
        }
    }
}
