use core::time::Duration;

use pool::{Finish, RequestId};
use rand::RngExt;

use super::{Event, Message, TICK, World, request_of, setup};

/// Age at which an ended place no longer matters to any report.
const HISTORY: Duration = Duration::from_secs(5);

impl World {
    /// Notes that higher tiers wait at other hosts while this one is served.
    pub(super) fn mark(&mut self, now: Duration, host: usize, class: u16) {
        // Requests that arrived just now may be on their way to the home.
        let before = now.saturating_sub(TICK);
        for request in &mut self.requests {
            if request.at > before {
                break;
            }
            if request.class < class && request.host != host && request.is_waiting(now) {
                request.inverted = true;
            }
        }
    }

    /// Compares the requests at an endpoint with the batch, and with the batch
    /// plus what the home's last report cannot show.
    pub(super) fn check(&mut self, now: Duration, home: usize, endpoint: usize) {
        let held = self.engines[endpoint].in_flight;
        self.tally
            .start(held.saturating_sub(setup::BATCH), self.is_split(now));
        let report = self.basis[home][endpoint];
        if report > Duration::ZERO {
            let age = &mut self.tally.report_age_max;
            *age = now.saturating_sub(report).max(*age);
        }
        let places = &self.places;
        let old = now.saturating_sub(HISTORY);
        self.recent[endpoint].retain(|id| !places[id].is_over(old));
        let recent = self.recent[endpoint].iter().map(|id| &places[id]);
        let hidden = recent
            .filter(|place| place.is_hidden(home, report, now))
            .count();
        let bound = setup::BATCH + hidden as u32;
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
        self.end(index);
        let request = &self.requests[index];
        let finish = Finish {
            outcome: pool::Outcome::Complete,
            tokens: request.output,
        };
        let (host, home) = (request.host, request.home);
        self.send(now, host, home, Message::Done(id, finish));
    }

    pub(super) fn leave_engine(&mut self, now: Duration, id: RequestId) {
        let place = self.places.get_mut(&id).expect("granted");
        place.ended = Some(now);
        let endpoint = place.endpoint;
        let engine = &mut self.engines[endpoint];
        engine.in_flight -= 1;
        if let Some((next, output)) = engine.finish(id) {
            let noise = self.rng.random_range(0.9..1.1);
            let (first, end) = self.engines[endpoint].begin(now, output, noise);
            self.after(first, Event::First(next));
            self.after(end, Event::Done(next));
        }
    }
}
