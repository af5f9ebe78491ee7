use core::time;

use rand::RngExt;

use crate::action;
use crate::current;
use crate::live;
use crate::request;

impl current::Current {
    /// Queues an ask or refuses it at once.
    pub(crate) fn admit(
        &mut self,
        now: time::Duration,
        request: request::Request,
        out: &mut Vec<action::Action>,
    ) {
        self.queue.record_demand(now, request.class);
        let verdict = self.blame.verdict(now, request.fingerprint);
        if verdict == route::Verdict::Poison {
            return self.refuse(&request, answer::Kind::Poison, None, out);
        }
        let class = self.class(&request);
        if request.attempt > 0 && !self.budgets[class].withdraw() {
            let after = Some(BUDGET_RETRY);
            return self.refuse(&request, answer::Kind::RetryBudget, after, out);
        }
        if !self.table.has_open_endpoint() {
            let after = Some(OUTAGE_MIN);
            return self.refuse(&request, answer::Kind::NoEndpoint, after, out);
        }
        if request.deadline <= now {
            let after = Some(self.advice(time::Duration::ZERO));
            return self.refuse(&request, answer::Kind::Expired, after, out);
        }
        let ready = now + self.backoff(request.attempt);
        let latest = self.latest(now, &request);
        if let Some(wait) = self.outage_wait(now)
            && now + wait >= latest
            && !self.probes(now, request.attempt)
        {
            let after = Some(self.advice(wait));
            return self.refuse(&request, answer::Kind::NoEndpoint, after, out);
        }
        let capacity = self.capacity();
        let target = self.target(now, &request);
        let length = self.lengths[class].mean(request.max_tokens);
        let caller = (request.team, request.caller, cost(&request, length));
        let slack = target.saturating_sub(now);
        let wait = self
            .queue
            .estimate_wait(now, request.class, caller, slack, capacity);
        if ready.max(now + wait) >= latest {
            self.queue.record_refusal(now, request.class, latest);
            let after = Some(self.advice(wait));
            return self.refuse(&request, answer::Kind::Overload, after, out);
        }
        let suspect = verdict == route::Verdict::Suspect;
        let mut job = self.job(&request, suspect, ready, latest);
        job.target = target;
        self.push(now, job, wait, out);
    }

    fn push(
        &mut self,
        now: time::Duration,
        job: sched::Job<request::Request>,
        wait: time::Duration,
        out: &mut Vec<action::Action>,
    ) {
        let id = job.data.id;
        let suspect = need(job.lane).is_suspect;
        let after = Some(self.advice(wait.max(FULL_RETRY)));
        let key = match self.queue.push(now, job) {
            sched::Admission::Queued(key) => key,
            sched::Admission::Displaced { key, shed } => {
                self.refuse(&shed, answer::Kind::Shed, after, out);
                key
            }
            sched::Admission::QueueFull(request) | sched::Admission::TeamShare(request) => {
                return self.refuse(&request, answer::Kind::Overload, after, out);
            }
        };
        self.live.insert(id, live::Live::Queued(key));
        if suspect {
            self.suspects.push(id);
        }
    }

    fn job(
        &self,
        request: &request::Request,
        suspect: bool,
        ready: time::Duration,
        latest: time::Duration,
    ) -> sched::Job<request::Request> {
        let length = &self.lengths[self.class(request)];
        let need = route::Need {
            is_long: length.is_long(request.max_tokens, self.options.long_tokens),
            is_suspect: suspect,
        };
        sched::Job {
            class: request.class,
            team: request.team,
            caller: request.caller,
            cost: cost(request, length.mean(request.max_tokens)),
            target: latest,
            deadline: latest,
            lane: lane(need),
            ready_at: ready,
            data: *request,
        }
    }

    /// Returns the latest time at which starting the ask is of use.
    ///
    /// The expected service time is kept free, but never more than half of the
    /// time that the caller gives, so that no class is refused for good.
    fn latest(&self, now: time::Duration, request: &request::Request) -> time::Duration {
        let service = self.services[self.class(request)].upper_bound();
        let half = request.deadline.saturating_sub(now) / 2;
        let service =
            time::Duration::try_from_secs_f64(service).map_or(half, |time| time.min(half));
        request.deadline - service
    }

    /// Returns the time until which a grant meets the class's first-token target.
    fn target(&self, now: time::Duration, request: &request::Request) -> time::Duration {
        let class = self.class(request);
        let (target, _) = self.targets(class);
        let first = self.table.mean_time_to_first_token(class).unwrap_or(0.0);
        let most = target.as_secs_f64() * FIRST_PART_MAX;
        now + target.saturating_sub(time::Duration::from_secs_f64(first.min(most)))
    }

    /// Returns the delay before a retry: exponential, with jitter.
    fn backoff(&mut self, attempt: u16) -> time::Duration {
        if attempt == 0 {
            return time::Duration::ZERO;
        }
        let doublings = u32::from(attempt - 1).min(BACKOFF_DOUBLINGS);
        let full = BACKOFF * (1 << doublings);
        full.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Returns the service rate in tokens per second; infinite if unknown.
    pub(crate) fn capacity(&self) -> f64 {
        let rate = self.pace.rate();
        rate.map_or(f64::INFINITY, |rate| rate * self.table.nominal_slots())
    }

    pub(crate) fn wait_lowest(&self, now: time::Duration) -> time::Duration {
        self.queue
            .estimate_wait_in_lowest_tier(now, self.capacity())
    }

    /// Returns how long an outage of all endpoints is expected to last on.
    fn outage_wait(&self, now: time::Duration) -> Option<time::Duration> {
        if self.table.has_reachable_endpoint() {
            return None;
        }
        let since = self.outage.unwrap_or(now);
        Some(now.saturating_sub(since).max(OUTAGE_MIN))
    }

    /// Returns whether a fresh ask may probe an endpoint during an outage.
    ///
    /// No tick comes while nothing is queued or running, so due pauses end here.
    fn probes(&mut self, now: time::Duration, attempt: u16) -> bool {
        self.table.end_pauses(now);
        attempt == 0 && self.queue.is_empty() && self.table.has_room(route::Need::default())
    }

    /// Returns the advised delay for an estimated wait.
    pub(crate) fn advice(&self, wait: time::Duration) -> time::Duration {
        wait.clamp(ADVICE_MIN, ADVICE_MAX)
    }
}

/// Returns the cost of an ask with this output length, in output tokens.
pub(crate) fn cost(request: &request::Request, output: f64) -> f64 {
    (f64::from(request.prompt_tokens) * PROMPT_PART + output).max(1.0)
}

pub(crate) const fn lane(need: route::Need) -> sched::Lane {
    sched::Lane::new(need.index() as u8)
}

pub(crate) fn need(lane: sched::Lane) -> route::Need {
    route::Need::from_index(usize::from(lane.index()))
}

/// Cost of a prompt token in output tokens; prompts are processed in parallel.
const PROMPT_PART: f64 = 0.125;

/// Part of the first-token target that the expected time at the endpoint takes
/// at most; some of the target always remains for the queue.
const FIRST_PART_MAX: f64 = 0.75;

/// First delay of a retry.
const BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Doublings of the delay at most, which gives 1.6 s.
const BACKOFF_DOUBLINGS: u32 = 5;

/// Advised delay when the retry budget is used up.
const BUDGET_RETRY: time::Duration = time::Duration::from_secs(1);

/// Shortest advised delay when the queue is full.
const FULL_RETRY: time::Duration = time::Duration::from_secs(1);

/// Expected length of an outage that has just begun.
const OUTAGE_MIN: time::Duration = time::Duration::from_secs(1);

/// Shortest advised delay.
const ADVICE_MIN: time::Duration = time::Duration::from_millis(100);

/// Longest advised delay.
const ADVICE_MAX: time::Duration = time::Duration::from_secs(60);
