use core::time;

use rand::RngExt;

use crate::action;
use crate::current;
use crate::request;
use crate::state;

impl current::Current {
    /// Queues a request, or refuses it with the first reason that applies.
    pub(crate) fn admit(
        &mut self,
        now: time::Duration,
        request: request::Request,
        out: &mut Vec<action::Action>,
    ) {
        self.queue.record_demand(now, request.class);
        let verdict = self.quarantine.verdict(now, request.fingerprint);
        if verdict == route::Verdict::Poison || self.parts.is_poison(request.prefix_hash) {
            return self.refuse(&request, answer::Kind::Poison, None, out);
        }
        let class = self.class(&request);
        if request.attempt > 0 && !self.budgets[class].withdraw() {
            let after = Some(BUDGET_RETRY_AFTER);
            return self.refuse(&request, answer::Kind::RetryBudget, after, out);
        }
        if !self.table.has_open_endpoint() {
            let after = Some(EXPECTED_OUTAGE_MIN);
            return self.refuse(&request, answer::Kind::NoEndpoint, after, out);
        }
        if request.deadline <= now {
            let after = Some(self.retry_after(time::Duration::ZERO));
            return self.refuse(&request, answer::Kind::Expired, after, out);
        }
        let ready = now + self.backoff(request.attempt);
        let latest = self.latest_start(now, &request);
        if let Some(wait) = self.remaining_outage(now)
            && now + wait >= latest
            && !self.may_probe(now, request.attempt)
        {
            let after = Some(self.retry_after(wait));
            return self.refuse(&request, answer::Kind::NoEndpoint, after, out);
        }
        let capacity = self.capacity();
        let target = self.target_start(now, &request);
        let length = self.lengths[class].mean(request.max_tokens);
        let caller = (request.team, request.caller, token_cost(&request, length));
        let slack = target.saturating_sub(now);
        let wait = self
            .queue
            .estimate_wait(now, request.class, caller, slack, capacity);
        if ready.max(now + wait) >= latest {
            self.queue.record_refusal(now, request.class, latest);
            let after = Some(self.retry_after(wait));
            return self.refuse(&request, answer::Kind::Overload, after, out);
        }
        let is_suspect = verdict == route::Verdict::Suspect;
        let mut job = self.new_job(&request, is_suspect, ready, latest);
        job.target = target;
        self.enqueue(now, job, wait, out);
    }

    fn enqueue(
        &mut self,
        now: time::Duration,
        job: sched::Job<request::Request>,
        wait: time::Duration,
        out: &mut Vec<action::Action>,
    ) {
        let id = job.data.id;
        let is_suspect = need(job.lane).is_suspect;
        let after = Some(self.retry_after(wait.max(QUEUE_FULL_RETRY_AFTER_MIN)));
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
        self.states.insert(id, state::State::Queued(key));
        if is_suspect {
            self.suspects.push(id);
        }
    }

    fn new_job(
        &self,
        request: &request::Request,
        is_suspect: bool,
        ready: time::Duration,
        latest: time::Duration,
    ) -> sched::Job<request::Request> {
        let length = &self.lengths[self.class(request)];
        let need = route::Need {
            is_long: length.is_long(request.max_tokens, self.options.long_tokens),
            is_suspect,
        };
        sched::Job {
            class: request.class,
            team: request.team,
            caller: request.caller,
            cost: token_cost(request, length.mean(request.max_tokens)),
            target: latest,
            deadline: latest,
            lane: lane(need),
            ready_at: ready,
            data: *request,
        }
    }

    /// Returns the latest useful start: the deadline less the expected service time.
    ///
    /// At most half of the time until the deadline is reserved for service.
    /// Otherwise a class whose service takes longer than its deadlines allow would
    /// always be refused.
    fn latest_start(&self, now: time::Duration, request: &request::Request) -> time::Duration {
        let service = self.service_times[self.class(request)].upper_bound();
        let half = request.deadline.saturating_sub(now) / 2;
        let service =
            time::Duration::try_from_secs_f64(service).map_or(half, |time| time.min(half));
        request.deadline - service
    }

    /// Returns the latest start that meets the first-token target of the class.
    fn target_start(&self, now: time::Duration, request: &request::Request) -> time::Duration {
        let class = self.class(request);
        let (target, _) = self.targets(class);
        let first = self.table.mean_time_to_first_token(class).unwrap_or(0.0);
        let most = target.as_secs_f64() * FIRST_TOKEN_SHARE_MAX;
        now + target.saturating_sub(time::Duration::from_secs_f64(first.min(most)))
    }

    /// Returns the exponential backoff of an attempt, with jitter; zero for the
    /// first one.
    fn backoff(&mut self, attempt: u16) -> time::Duration {
        if attempt == 0 {
            return time::Duration::ZERO;
        }
        let doublings = u32::from(attempt - 1).min(BACKOFF_DOUBLINGS_MAX);
        let full = BACKOFF_BASE * (1 << doublings);
        full.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Returns the throughput of the shard in tokens per second; infinite until the
    /// first request has completed.
    pub(crate) fn capacity(&self) -> f64 {
        let rate = self.throughput.rate();
        rate.map_or(f64::INFINITY, |rate| rate * self.table.nominal_slots())
    }

    pub(crate) fn lowest_tier_wait(&self, now: time::Duration) -> time::Duration {
        self.queue
            .estimate_wait_in_lowest_tier(now, self.capacity())
    }

    /// Returns the expected remaining time of an outage of all endpoints, or `None`
    /// if an endpoint is reachable.
    ///
    /// An outage is expected to last as long again as it has lasted.
    fn remaining_outage(&self, now: time::Duration) -> Option<time::Duration> {
        if self.table.has_reachable_endpoint() {
            return None;
        }
        let since = self.outage_since.unwrap_or(now);
        Some(now.saturating_sub(since).max(EXPECTED_OUTAGE_MIN))
    }

    /// Returns whether a request may probe an endpoint during an outage: a first
    /// attempt, while nothing is queued.
    ///
    /// Ends the pauses of endpoints that are due, because no tick does so while
    /// nothing is queued or running.
    fn may_probe(&mut self, now: time::Duration, attempt: u16) -> bool {
        self.table.end_pauses(now);
        attempt == 0 && self.queue.is_empty() && self.table.has_room(route::Need::default())
    }

    /// Returns the retry delay to advise for an estimated wait.
    pub(crate) fn retry_after(&self, wait: time::Duration) -> time::Duration {
        wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

/// Returns the cost of a request with this output length, in output tokens; at
/// least 1.
pub(crate) fn token_cost(request: &request::Request, output: f64) -> f64 {
    (f64::from(request.prompt_tokens) * PROMPT_TOKEN_COST + output).max(1.0)
}

/// Returns the lane of the requests with this need.
pub(crate) const fn lane(need: route::Need) -> sched::Lane {
    sched::Lane::new(need.index() as u8)
}

/// Returns the need of the requests in this lane.
pub(crate) fn need(lane: sched::Lane) -> route::Need {
    route::Need::from_index(usize::from(lane.index()))
}

/// Cost of a prompt token in output tokens. It is below 1 because the tokens of a
/// prompt are processed in parallel.
const PROMPT_TOKEN_COST: f64 = 0.125;

/// Largest share of the first-token target that is reserved for the time at the
/// endpoint, so that some of the target remains for the queue.
const FIRST_TOKEN_SHARE_MAX: f64 = 0.75;

/// Backoff before the first retry, without jitter.
const BACKOFF_BASE: time::Duration = time::Duration::from_millis(50);

/// Limit of the doublings of the backoff, which gives 1.6 s.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;

/// Advised retry delay when the retry budget is exhausted.
const BUDGET_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Shortest advised retry delay when the queue is full.
const QUEUE_FULL_RETRY_AFTER_MIN: time::Duration = time::Duration::from_secs(1);

/// Expected remaining time of an outage that has just begun.
const EXPECTED_OUTAGE_MIN: time::Duration = time::Duration::from_secs(1);

/// Shortest advised retry delay.
const RETRY_AFTER_MIN: time::Duration = time::Duration::from_millis(100);

/// Longest advised retry delay.
const RETRY_AFTER_MAX: time::Duration = time::Duration::from_secs(60);
