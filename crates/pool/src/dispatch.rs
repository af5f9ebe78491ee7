use core::time;

use crate::action;
use crate::admit;
use crate::current;
use crate::finish;
use crate::live;
use crate::request;
use crate::running;

impl current::Current {
    /// Grants asks in turn while an endpoint has room.
    pub(crate) fn dispatch(&mut self, now: time::Duration, out: &mut Vec<action::Action>) {
        while let Some(pick) = self.queue.pick(now, self.lanes()) {
            let Some(job) = self.queue.get(pick.key) else {
                return;
            };
            let (request, need) = (job.data, admit::need(job.lane));
            if !self.cleared(now, pick.key, &request, need, out) {
                continue;
            }
            self.grant(now, pick, need, out);
        }
    }

    /// Returns the lanes for which some endpoint has room.
    fn lanes(&self) -> sched::Lanes {
        let needs = (0..route::Need::COUNT).map(route::Need::from_index);
        needs.fold(sched::Lanes::NONE, |lanes, need| {
            lanes.with(admit::lane(need), self.table.has_room(need))
        })
    }

    /// Returns whether crash blame lets the ask run now; otherwise it is moved,
    /// held or refused.
    fn cleared(
        &mut self,
        now: time::Duration,
        key: sched::Key,
        request: &request::Request,
        need: route::Need,
        out: &mut Vec<action::Action>,
    ) -> bool {
        let verdict = self.blame.verdict(now, request.fingerprint);
        let suspect = verdict == route::Verdict::Suspect;
        if verdict == route::Verdict::Poison {
            self.queue.cancel(key);
            self.refuse(request, answer::Kind::Poison, None, out);
            return false;
        }
        if suspect != need.is_suspect {
            let need = route::Need {
                is_suspect: suspect,
                ..need
            };
            self.queue.set_lane(key, admit::lane(need));
            if suspect {
                self.suspects.push(request.id);
            }
            return false;
        }
        // Two copies of a suspect at once could crash two more endpoints.
        if suspect && self.blame.is_running(request.fingerprint) {
            self.queue.hold(key, now + SUSPECT_HOLD);
            return false;
        }
        true
    }

    fn grant(
        &mut self,
        now: time::Duration,
        pick: sched::Pick,
        need: route::Need,
        out: &mut Vec<action::Action>,
    ) {
        let Some(job) = self.queue.get(pick.key) else {
            return;
        };
        let work = self.work(&job.data, need);
        let Some(run) = self.table.grant(now, work) else {
            self.queue.hold(pick.key, now + ROOM_HOLD);
            return;
        };
        let (Some(endpoint), Some((job, ticket))) =
            (self.table.endpoint(run), self.queue.take(now, pick))
        else {
            self.table.finish(now, run, route::Outcome::Unused, 0);
            return;
        };
        let request = job.data;
        if need.is_suspect {
            self.blame.start(request.fingerprint);
        }
        if request.attempt == 0 {
            let class = self.class(&request);
            self.budgets[class].deposit();
        }
        let running = running::Running {
            request,
            ticket,
            run,
            granted: now,
            suspect: need.is_suspect,
        };
        let key = self.running.insert(running);
        self.live.insert(request.id, live::Live::Running(key));
        out.push(action::Action::Grant {
            request: request.id,
            endpoint: crate::EndpointId(endpoint),
        });
    }

    /// Returns the targets of a class for first token and time between tokens.
    pub(crate) fn targets(&self, class: usize) -> (time::Duration, Option<time::Duration>) {
        let class = self.options.classes.get(class);
        class.map_or((TARGET_DEFAULT, None), |class| {
            (class.target_first, class.target_gap)
        })
    }

    fn work(&self, request: &request::Request, need: route::Need) -> route::Request {
        let class = self.class(request);
        let (target_first, target_gap) = self.targets(class);
        route::Request {
            need,
            class: class as u16,
            target_first,
            target_gap,
            prefix_hash: request.prefix_hash,
            avoid: request.avoid.map(|endpoint| endpoint.0),
        }
    }

    /// Learns from the end of a granted ask and corrects its charge.
    pub(crate) fn settle(
        &mut self,
        now: time::Duration,
        running: running::Running,
        finish: finish::Finish,
    ) {
        let request = running.request;
        let class = self.class(&request);
        let spent = admit::cost(&request, f64::from(finish.tokens));
        let held = now.saturating_sub(running.granted);
        let (end, cost) = match finish.outcome {
            finish::Outcome::Complete => {
                self.lengths[class].observe(finish.tokens);
                self.services[class].observe(held.as_secs_f64());
                self.pace.observe(now, spent, held);
                self.blame.clear(request.fingerprint);
                (route::Outcome::Complete, spent)
            }
            finish::Outcome::Cancelled => (route::Outcome::Cancelled, spent),
            finish::Outcome::Failed => {
                let endpoint = self.table.endpoint(running.run).unwrap_or(u32::MAX);
                self.blame
                    .record_crash(now, request.fingerprint, u64::from(endpoint));
                (route::Outcome::Failed, spent)
            }
            finish::Outcome::Refused => (route::Outcome::Refused, 0.0),
            finish::Outcome::Unreachable => (route::Outcome::Unreachable, 0.0),
            finish::Outcome::Unused => {
                let budget = &mut self.budgets[class];
                if request.attempt > 0 {
                    budget.refund();
                } else {
                    budget.cancel_deposit();
                }
                (route::Outcome::Unused, 0.0)
            }
        };
        // After the blame, which tells suspects that run from ordinary asks.
        if running.suspect {
            self.blame.stop(request.fingerprint);
        }
        self.queue.settle(running.ticket, cost);
        self.table.finish(now, running.run, end, finish.tokens);
    }

    /// Moves queued asks that are no longer suspects to their own lane.
    pub(crate) fn review(&mut self, now: time::Duration) {
        let suspects = core::mem::take(&mut self.suspects);
        for id in suspects {
            let Some(&live::Live::Queued(key)) = self.live.get(&id) else {
                continue;
            };
            let Some(job) = self.queue.get(key) else {
                continue;
            };
            let need = admit::need(job.lane);
            let verdict = self.blame.verdict(now, job.data.fingerprint);
            if verdict == route::Verdict::Clear {
                let lane = admit::lane(route::Need {
                    is_suspect: false,
                    ..need
                });
                self.queue.set_lane(key, lane);
            } else {
                self.suspects.push(id);
            }
        }
    }
}

/// Time after which a suspect is tried again whose copy runs.
const SUSPECT_HOLD: time::Duration = time::Duration::from_millis(50);

/// Time after which an ask is tried again that found no room.
const ROOM_HOLD: time::Duration = time::Duration::from_millis(20);

/// Target for the time to the first token of a class without settings.
const TARGET_DEFAULT: time::Duration = time::Duration::from_secs(1);
