use core::time;

use crate::action;
use crate::admit;
use crate::current;
use crate::finish;
use crate::request;
use crate::running;
use crate::state;

impl current::Current {
    /// Grants queued requests in the order of the queue while an endpoint has room.
    pub(crate) fn dispatch(&mut self, now: time::Duration, out: &mut Vec<action::Action>) {
        while let Some(pick) = self.queue.pick(now, self.open_lanes()) {
            let Some(job) = self.queue.get(pick.key) else {
                return;
            };
            let (request, need) = (job.data, admit::need(job.lane));
            if !self.passes_quarantine(now, pick.key, &request, need, out) {
                continue;
            }
            self.grant(now, pick, need, out);
        }
    }

    /// Returns the lanes for which some endpoint has room.
    fn open_lanes(&self) -> sched::Lanes {
        let needs = (0..route::Need::COUNT).map(route::Need::from_index);
        needs.fold(sched::Lanes::NONE, |lanes, need| {
            lanes.with(admit::lane(need), self.table.has_room(need))
        })
    }

    /// Returns whether the crash records allow the request to run now; otherwise
    /// changes its lane, holds it or refuses it.
    fn passes_quarantine(
        &mut self,
        now: time::Duration,
        key: sched::Key,
        request: &request::Request,
        need: route::Need,
        out: &mut Vec<action::Action>,
    ) -> bool {
        let verdict = self.quarantine.verdict(now, request.fingerprint);
        let is_suspect = verdict == route::Verdict::Suspect;
        if verdict == route::Verdict::Poison || self.parts.is_poison(request.prefix_hash) {
            self.queue.cancel(key);
            self.refuse(request, answer::Kind::Poison, None, out);
            return false;
        }
        if is_suspect != need.is_suspect {
            let need = route::Need { is_suspect, ..need };
            self.queue.set_lane(key, admit::lane(need));
            if is_suspect {
                self.suspects.push(request.id);
            }
            return false;
        }
        // Two requests with this fingerprint at once could crash two more endpoints.
        if is_suspect && self.quarantine.is_running(request.fingerprint) {
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
        let request = self.route_request(&job.data, need);
        let Some(run) = self.table.grant(now, request) else {
            self.queue.hold(pick.key, now + NO_SLOT_HOLD);
            return;
        };
        let (Some(endpoint), Some((job, charge))) =
            (self.table.endpoint(run), self.queue.take(now, pick))
        else {
            self.table.finish(now, run, route::Outcome::Unused, 0);
            return;
        };
        let request = job.data;
        if need.is_suspect {
            self.quarantine.start(request.fingerprint);
        }
        if request.attempt == 0 {
            let class = self.class(&request);
            self.budgets[class].deposit();
        }
        let running = running::Running {
            request,
            charge,
            run,
            granted_at: now,
            is_suspect: need.is_suspect,
        };
        let key = self.running.insert(running);
        self.states.insert(request.id, state::State::Running(key));
        out.push(action::Action::Grant {
            request: request.id,
            endpoint: crate::EndpointId(endpoint),
        });
    }

    /// Returns the targets of a class for the time to the first token and the time
    /// between tokens.
    pub(crate) fn targets(&self, class: usize) -> (time::Duration, Option<time::Duration>) {
        let class = self.options.classes.get(class);
        class.map_or((TARGET_FIRST_DEFAULT, None), |class| {
            (class.target_first, class.target_gap)
        })
    }

    fn route_request(&self, request: &request::Request, need: route::Need) -> route::Request {
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

    /// Updates the estimates from the end of a granted request, corrects its charge
    /// in the queue and frees its slot.
    pub(crate) fn settle(
        &mut self,
        now: time::Duration,
        running: running::Running,
        finish: finish::Finish,
    ) {
        let request = running.request;
        let class = self.class(&request);
        let spent = admit::token_cost(&request, f64::from(finish.tokens));
        let held = now.saturating_sub(running.granted_at);
        let (outcome, cost) = match finish.outcome {
            finish::Outcome::Complete => {
                self.lengths[class].observe(finish.tokens);
                self.service_times[class].observe(held.as_secs_f64());
                self.throughput.observe(now, spent, held);
                self.quarantine.clear(request.fingerprint);
                self.parts.complete(now, request.prefix_hash);
                (route::Outcome::Complete, spent)
            }
            finish::Outcome::Cancelled => (route::Outcome::Cancelled, spent),
            finish::Outcome::Failed => (route::Outcome::Failed, spent),
            finish::Outcome::Broken => {
                let endpoint = self.table.endpoint(running.run).unwrap_or(u32::MAX);
                self.quarantine
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
        // Must follow `record_crash`, which treats running suspects differently.
        if running.is_suspect {
            self.quarantine.stop(request.fingerprint);
        }
        self.queue.settle(running.charge, cost);
        self.table.finish(now, running.run, outcome, finish.tokens);
    }

    /// Moves queued requests that are no longer suspects to the regular lanes.
    pub(crate) fn release_cleared(&mut self, now: time::Duration) {
        let suspects = core::mem::take(&mut self.suspects);
        for id in suspects {
            let Some(&state::State::Queued(key)) = self.states.get(&id) else {
                continue;
            };
            let Some(job) = self.queue.get(key) else {
                continue;
            };
            let need = admit::need(job.lane);
            let verdict = self.quarantine.verdict(now, job.data.fingerprint);
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

/// Time for which a suspect is held while another request with its fingerprint
/// runs.
const SUSPECT_HOLD: time::Duration = time::Duration::from_millis(50);

/// Time for which a request is held that found no free slot at its endpoints.
const NO_SLOT_HOLD: time::Duration = time::Duration::from_millis(20);

/// First-token target of a class that the options do not list.
const TARGET_FIRST_DEFAULT: time::Duration = time::Duration::from_secs(1);
