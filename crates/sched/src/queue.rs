use core::time;

use crate::admission;
use crate::backlog;
use crate::caller;
use crate::charge;
use crate::class;
use crate::entry;
use crate::flows;
use crate::job;
use crate::lane;
use crate::log;
use crate::options;
use crate::pick;
use crate::position;
use crate::record;
use crate::tier;

slotmap::new_key_type! {
    /// Key of a queued job.
    pub struct Key;
}

/// Queue of one shard.
///
/// Tiers are served in strict order, except for the floors of the classes.
/// Within a tier, teams are served by weighted fair queueing, the callers of a
/// team in equal shares, and the jobs of a caller by deadline. `T` is data of
/// the owner.
#[derive(Debug)]
pub struct Queue<T> {
    pub(crate) options: options::Options,
    pub(crate) jobs: slotmap::SlotMap<Key, entry::Entry<T>>,
    pub(crate) flows: flows::Flows,
    pub(crate) backlogs: Vec<backlog::Backlog>,
    /// Weights of the listed teams; all others have weight 1.
    weights: rustc_hash::FxHashMap<u32, f64>,
    /// Ineligible jobs by the time at which they become eligible.
    held: std::collections::BTreeSet<(time::Duration, Key)>,
    records: log::Log,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(options: options::Options) -> Self {
        let mut queue = Self {
            options: options::Options::default(),
            jobs: slotmap::SlotMap::with_key(),
            flows: flows::Flows::default(),
            backlogs: Vec::new(),
            weights: rustc_hash::FxHashMap::default(),
            held: std::collections::BTreeSet::new(),
            records: log::Log::default(),
        };
        queue.configure(time::Duration::ZERO, options);
        queue
    }

    /// Replaces the settings and keeps the queued jobs.
    ///
    /// If the tiers of the classes change, the service that each team and caller
    /// received so far is reset.
    pub fn configure(&mut self, now: time::Duration, mut options: options::Options) {
        if options.classes.is_empty() {
            options.classes.push(CLASS_DEFAULT);
        }
        let has_same_tiers = options.classes.len() == self.backlogs.len()
            && (options.classes.iter().zip(&self.backlogs))
                .all(|(new, old)| new.tier == old.class.tier);
        let weights = options
            .weights
            .keys()
            .map(|&team| (team, options.weight(team)));
        self.weights = weights.collect();
        self.options = options;
        if has_same_tiers {
            for (backlog, &class) in self.backlogs.iter_mut().zip(&self.options.classes) {
                backlog.class = class;
            }
            let weights = &self.weights;
            let weight = |team| weights.get(&team).copied().unwrap_or(1.0);
            self.flows.set_weights(weight);
        } else {
            self.rebuild(now);
        }
    }

    /// Rebuilds every index of the queued jobs for new tiers.
    fn rebuild(&mut self, now: time::Duration) {
        let mut levels: Vec<u8> = self
            .options
            .classes
            .iter()
            .map(|class| class.tier)
            .collect();
        levels.sort_unstable();
        levels.dedup();
        let index = |class: &class::Class| levels.partition_point(|&level| level < class.tier);
        let classes = self.options.classes.iter();
        self.backlogs = classes
            .map(|class| backlog::Backlog::new(*class, index(class)))
            .collect();
        let subqueues = self.backlogs.len() * 2 * usize::from(lane::Lane::COUNT);
        let tiers = levels.iter().map(|_| tier::Tier::new()).collect();
        self.flows.reset(tiers, subqueues);
        self.held.clear();
        let mut keys: Vec<_> = self
            .jobs
            .iter()
            .map(|(key, entry)| (entry.queued_at, key))
            .collect();
        keys.sort_unstable();
        for (at, key) in keys {
            let class = self.clamp_class(self.jobs[key].job.class);
            self.jobs[key].job.class = class;
            self.backlogs[usize::from(class)].record_demand(at);
            self.attach(now, at, key);
        }
    }

    /// Records a request of the class, whether it will be queued or not.
    ///
    /// The starvation window of the class starts with its first unserved request.
    pub fn record_demand(&mut self, now: time::Duration, class: u16) {
        let class = self.clamp_class(class);
        self.backlogs[usize::from(class)].record_demand(now);
    }

    /// Queues a job.
    ///
    /// If the queue is full, the job of lower rank is dropped: the new job or a
    /// queued one.
    pub fn push(&mut self, now: time::Duration, mut job: job::Job<T>) -> admission::Admission<T> {
        job.class = self.clamp_class(job.class);
        self.backlogs[usize::from(job.class)].record_demand(now);
        if self.is_reserved(job.class) {
            return admission::Admission::Queued(self.insert(now, job));
        }
        let incoming = self.rank(&job);
        if self.is_team_share_used(&job) {
            self.record(now, record::Reason::TeamShare, incoming, None);
            return admission::Admission::TeamShare(job.data);
        }
        if self.counted_jobs() < self.options.queue_max {
            return admission::Admission::Queued(self.insert(now, job));
        }
        let victim = self.victim();
        match victim {
            Some((other, key)) if ranks_after(&other, &incoming) => {
                self.record(now, record::Reason::Displaced, other, Some(incoming));
                let shed = self.drop_job(key).data;
                let key = self.insert(now, job);
                admission::Admission::Displaced { key, shed }
            }
            other => {
                let kept = other.map(|(rank, _)| rank);
                self.record(now, record::Reason::QueueFull, incoming, kept);
                admission::Admission::QueueFull(job.data)
            }
        }
    }

    fn insert(&mut self, now: time::Duration, job: job::Job<T>) -> Key {
        let tier = self.backlogs[usize::from(job.class)].tier;
        self.flows.tiers[tier].arrivals.add(now, job.cost);
        let key = self.jobs.insert(entry::Entry {
            job,
            caller: caller::Key::default(),
            queued_at: now,
            is_late: false,
            is_eligible: false,
        });
        self.attach(now, now, key);
        key
    }

    /// Adds a job to every index.
    fn attach(&mut self, now: time::Duration, at: time::Duration, key: Key) {
        let team = self.jobs[key].job.team;
        let team = (team, self.weight(team));
        let entry = &mut self.jobs[key];
        let job = &entry.job;
        let backlog = &mut self.backlogs[usize::from(job.class)];
        entry.caller = self.flows.acquire(backlog.tier, team, job.caller);
        entry.is_eligible = false;
        backlog
            .deadlines
            .insert(position::Position::new(job.deadline, key));
        backlog.record_arrival(at, key);
        if entry.is_late {
            backlog
                .late
                .insert(position::Position::new(job.deadline, key));
            self.flows.tiers[backlog.tier].late_cost += job.cost;
        } else {
            backlog.targets.push_back((job.target, key));
        }
        backlog.cost += job.cost;
        self.flows.tiers[backlog.tier].cost += job.cost;
        if job.ready_at > now {
            self.held.insert((job.ready_at, key));
        } else {
            self.schedule(key);
        }
    }

    /// Makes a job eligible for service.
    pub(crate) fn schedule(&mut self, key: Key) {
        let entry = &mut self.jobs[key];
        let job = &entry.job;
        entry.is_eligible = true;
        let subqueue = subqueue(job.class, job.lane, entry.is_late);
        let position = position::Position::new(job.deadline, key);
        let cost = if entry.is_late { 0.0 } else { job.cost };
        self.flows.add_job(subqueue, entry.caller, position, cost);
    }

    /// Removes a job from the eligible or the held jobs.
    pub(crate) fn unschedule(&mut self, key: Key) {
        let entry = &mut self.jobs[key];
        let job = &entry.job;
        if entry.is_eligible {
            let position = position::Position::new(job.deadline, key);
            let subqueue = subqueue(job.class, job.lane, entry.is_late);
            let cost = if entry.is_late { 0.0 } else { job.cost };
            self.flows
                .remove_job(subqueue, entry.caller, position, cost);
        } else {
            self.held.remove(&(job.ready_at, key));
        }
        entry.is_eligible = false;
    }

    /// Removes a job from every index, but does not release its flow.
    fn detach(&mut self, key: Key) -> Option<entry::Entry<T>> {
        if !self.jobs.contains_key(key) {
            return None;
        }
        self.unschedule(key);
        let entry = self.jobs.remove(key)?;
        let job = &entry.job;
        let backlog = &mut self.backlogs[usize::from(job.class)];
        backlog
            .deadlines
            .remove(&position::Position::new(job.deadline, key));
        let tier = &mut self.flows.tiers[backlog.tier];
        tier.cost = (tier.cost - job.cost).max(0.0);
        if entry.is_late {
            backlog
                .late
                .remove(&position::Position::new(job.deadline, key));
            tier.late_cost = (tier.late_cost - job.cost).max(0.0);
        }
        backlog.cost = (backlog.cost - job.cost).max(0.0);
        let jobs = &self.jobs;
        backlog.prune(key, |key| jobs.contains_key(key));
        let team = self.flows.callers[entry.caller].team;
        self.flows.teams[team].queued -= 1;
        Some(entry)
    }

    /// Removes a queued job and releases its flow.
    pub(crate) fn drop_job(&mut self, key: Key) -> job::Job<T> {
        let entry = self.detach(key).expect("the key belongs to a queued job");
        self.flows.release(entry.caller);
        entry.job
    }

    /// Removes and returns a queued job; `None` if it is not queued.
    pub fn cancel(&mut self, key: Key) -> Option<job::Job<T>> {
        self.jobs.contains_key(key).then(|| self.drop_job(key))
    }

    /// Makes a job ineligible until `ready_at`, without changing its place in the
    /// order. Does nothing if the job is not queued.
    pub fn hold(&mut self, key: Key, ready_at: time::Duration) {
        if self.jobs.contains_key(key) {
            self.unschedule(key);
            self.jobs[key].job.ready_at = ready_at;
            self.held.insert((ready_at, key));
        }
    }

    /// Changes the lane of a job, if it is queued.
    pub fn set_lane(&mut self, key: Key, lane: lane::Lane) {
        let Some(entry) = self.jobs.get(key) else {
            return;
        };
        if entry.is_eligible {
            self.unschedule(key);
            self.jobs[key].job.lane = lane;
            self.schedule(key);
        } else {
            self.jobs[key].job.lane = lane;
        }
    }

    /// Makes the held jobs eligible that are ready at `now`.
    pub(crate) fn release_held(&mut self, now: time::Duration) {
        while let Some(&(ready_at, key)) = self.held.first() {
            if ready_at > now {
                return;
            }
            self.held.pop_first();
            self.schedule(key);
        }
    }

    /// Takes a job out of the queue for service and charges its estimated cost
    /// to its caller and team.
    ///
    /// Returns `None` if the job is no longer queued.
    pub fn take(
        &mut self,
        now: time::Duration,
        pick: pick::Pick,
    ) -> Option<(job::Job<T>, charge::Charge)> {
        let entry = self.detach(pick.key)?;
        let cost = entry.job.cost;
        if !pick.is_floor {
            self.flows.advance(entry.caller);
        }
        self.flows.charge(entry.caller, cost);
        for backlog in &mut self.backlogs {
            backlog.accrue_credit(now, cost);
        }
        self.backlogs[usize::from(entry.job.class)].record_service(now, cost);
        let charge = charge::Charge {
            caller: entry.caller,
            cost,
        };
        Some((entry.job, charge))
    }

    /// Corrects the charge of a taken job to its actual cost in tokens.
    ///
    /// Does nothing if the tiers have changed since the job was taken.
    pub fn settle(&mut self, charge: charge::Charge, cost: f64) {
        if self.flows.callers.contains_key(charge.caller) {
            self.flows.correct(charge.caller, cost - charge.cost);
            self.flows.release(charge.caller);
        }
    }

    /// Returns the number of queued jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is queued.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of queued jobs of each class, in the order of
    /// [`options::Options::classes`].
    pub fn queued_by_class(&self) -> impl Iterator<Item = usize> {
        self.backlogs.iter().map(backlog::Backlog::queued)
    }

    /// Returns a queued job; `None` if it is not queued.
    pub fn get(&self, key: Key) -> Option<&job::Job<T>> {
        self.jobs.get(key).map(|entry| &entry.job)
    }

    /// Returns the key and the data of each queued job, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.jobs.iter().map(|(key, entry)| (key, &entry.job.data))
    }

    /// Returns the latest decisions to drop a job, oldest first. The oldest are
    /// evicted from a ring buffer.
    pub fn records(&self) -> impl Iterator<Item = &record::Record> {
        self.records.iter()
    }

    /// Returns how many decisions were recorded in total, including evicted ones.
    pub const fn records_total(&self) -> u64 {
        self.records.total()
    }

    /// Records a decision to drop a job.
    pub(crate) fn record(
        &mut self,
        at: time::Duration,
        reason: record::Reason,
        dropped: record::Rank,
        kept: Option<record::Rank>,
    ) {
        self.records.push(record::Record {
            at,
            reason,
            dropped,
            kept,
        });
    }

    pub(crate) fn weight(&self, team: u32) -> f64 {
        self.weights.get(&team).copied().unwrap_or(1.0)
    }

    /// Returns the index of the class, which is the last one if out of range.
    pub(crate) fn clamp_class(&self, class: u16) -> u16 {
        class.min((self.backlogs.len() - 1) as u16)
    }
}

/// Returns the index of the subqueue of a lane of a class, for jobs before their
/// target or, if `late`, past it.
pub(crate) fn subqueue(class: u16, lane: lane::Lane, late: bool) -> u32 {
    let half = u32::from(class) * 2 + u32::from(late);
    half * u32::from(lane::Lane::COUNT) + u32::from(lane.index())
}

/// Returns whether `one` is dropped before `other` when the queue is full.
fn ranks_after(one: &record::Rank, other: &record::Rank) -> bool {
    (one.tier, one.deadline) > (other.tier, other.deadline)
}

/// Class of every job when the settings list none.
const CLASS_DEFAULT: class::Class = class::Class {
    tier: 0,
    floor: 0.0,
    starvation_window: time::Duration::from_secs(10),
};
