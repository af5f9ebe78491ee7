use core::time;

use crate::admission;
use crate::caller;
use crate::charge;
use crate::class;
use crate::entry;
use crate::flows;
use crate::group;
use crate::job;
use crate::lane;
use crate::log;
use crate::options;
use crate::pick;
use crate::place;
use crate::record;
use crate::tier;

slotmap::new_key_type! {
    /// Key of a queued job.
    pub struct Key;
}

/// Queue of one shard.
#[derive(Debug)]
pub struct Queue<T> {
    pub(crate) options: options::Options,
    pub(crate) jobs: slotmap::SlotMap<Key, entry::Entry<T>>,
    pub(crate) flows: flows::Flows,
    pub(crate) groups: Vec<group::Group>,
    /// Weights of the teams that are not 1.
    weights: rustc_hash::FxHashMap<u32, f64>,
    held: std::collections::BTreeSet<(time::Duration, Key)>,
    log: log::Log,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(options: options::Options) -> Self {
        let mut queue = Self {
            options: options::Options::default(),
            jobs: slotmap::SlotMap::with_key(),
            flows: flows::Flows::default(),
            groups: Vec::new(),
            weights: rustc_hash::FxHashMap::default(),
            held: std::collections::BTreeSet::new(),
            log: log::Log::default(),
        };
        queue.configure(time::Duration::ZERO, options);
        queue
    }

    /// Replaces the settings and keeps the queued jobs.
    ///
    /// A change of tiers forgets how much service each flow received.
    pub fn configure(&mut self, now: time::Duration, mut options: options::Options) {
        if options.classes.is_empty() {
            options.classes.push(CLASS_DEFAULT);
        }
        let same = options.classes.len() == self.groups.len()
            && (options.classes.iter().zip(&self.groups))
                .all(|(new, old)| new.tier == old.class.tier);
        let weights = options
            .weights
            .keys()
            .map(|&team| (team, options.weight(team)));
        self.weights = weights.collect();
        self.options = options;
        if same {
            for (group, &class) in self.groups.iter_mut().zip(&self.options.classes) {
                group.class = class;
            }
            let weights = &self.weights;
            let weight = |team| weights.get(&team).copied().unwrap_or(1.0);
            self.flows.reweigh(weight);
        } else {
            self.rebuild(now);
        }
    }

    fn rebuild(&mut self, now: time::Duration) {
        let mut ranks: Vec<u8> = self
            .options
            .classes
            .iter()
            .map(|class| class.tier)
            .collect();
        ranks.sort_unstable();
        ranks.dedup();
        let index = |class: &class::Class| ranks.partition_point(|&rank| rank < class.tier);
        let classes = self.options.classes.iter();
        self.groups = classes
            .map(|class| group::Group::new(*class, index(class)))
            .collect();
        let lines = self.groups.len() * 2 * usize::from(lane::Lane::COUNT);
        let tiers = ranks.iter().map(|_| tier::Tier::new()).collect();
        self.flows.reset(tiers, lines);
        self.held.clear();
        let mut keys: Vec<_> = self
            .jobs
            .iter()
            .map(|(key, entry)| (entry.at, key))
            .collect();
        keys.sort_unstable();
        for (at, key) in keys {
            let class = self.class(self.jobs[key].job.class);
            self.jobs[key].job.class = class;
            self.groups[usize::from(class)].demand(at);
            self.attach(now, at, key);
        }
    }

    /// Notes that a request of the class wants service, for its floor.
    pub fn record_demand(&mut self, now: time::Duration, class: u16) {
        let class = self.class(class);
        self.groups[usize::from(class)].demand(now);
    }

    /// Queues a job, or gives up this one or another one if the queue is full.
    pub fn push(&mut self, now: time::Duration, mut job: job::Job<T>) -> admission::Admission<T> {
        job.class = self.class(job.class);
        self.groups[usize::from(job.class)].demand(now);
        if self.reserved(job.class) {
            return admission::Admission::Queued(self.insert(now, job));
        }
        let newcomer = self.subject(&job);
        if self.share_used(&job) {
            self.note(now, record::Reason::TeamShare, newcomer, None);
            return admission::Admission::TeamShare(job.data);
        }
        if self.counted() < self.options.queue_max {
            return admission::Admission::Queued(self.insert(now, job));
        }
        let victim = self.victim();
        match victim {
            Some((other, key)) if after(&other, &newcomer) => {
                self.note(now, record::Reason::Displaced, other, Some(newcomer));
                let shed = self.drop_job(key).data;
                let key = self.insert(now, job);
                admission::Admission::Displaced { key, shed }
            }
            other => {
                let kept = other.map(|(subject, _)| subject);
                self.note(now, record::Reason::QueueFull, newcomer, kept);
                admission::Admission::QueueFull(job.data)
            }
        }
    }

    fn insert(&mut self, now: time::Duration, job: job::Job<T>) -> Key {
        let tier = self.groups[usize::from(job.class)].tier;
        self.flows.tiers[tier].arrivals.add(now, job.cost);
        let key = self.jobs.insert(entry::Entry {
            job,
            caller: caller::Key::default(),
            at: now,
            late: false,
            linked: false,
        });
        self.attach(now, now, key);
        key
    }

    fn attach(&mut self, now: time::Duration, at: time::Duration, key: Key) {
        let team = self.jobs[key].job.team;
        let team = (team, self.weight(team));
        let entry = &mut self.jobs[key];
        let job = &entry.job;
        let group = &mut self.groups[usize::from(job.class)];
        entry.caller = self.flows.enter(group.tier, team, job.caller);
        entry.linked = false;
        group.deadlines.insert(place::Place::new(job.deadline, key));
        group.arrive(at, key);
        if entry.late {
            group.late.insert(place::Place::new(job.deadline, key));
            self.flows.tiers[group.tier].late += job.cost;
        } else {
            group.fresh.push_back((job.target, key));
        }
        group.cost += job.cost;
        self.flows.tiers[group.tier].cost += job.cost;
        if job.ready_at > now {
            self.held.insert((job.ready_at, key));
        } else {
            self.link(key);
        }
    }

    pub(crate) fn link(&mut self, key: Key) {
        let entry = &mut self.jobs[key];
        let job = &entry.job;
        entry.linked = true;
        let line = line(job.class, job.lane, entry.late);
        let place = place::Place::new(job.deadline, key);
        let cost = if entry.late { 0.0 } else { job.cost };
        self.flows.link(line, entry.caller, place, cost);
    }

    pub(crate) fn unlink(&mut self, key: Key) {
        let entry = &mut self.jobs[key];
        let job = &entry.job;
        if entry.linked {
            let place = place::Place::new(job.deadline, key);
            let line = line(job.class, job.lane, entry.late);
            let cost = if entry.late { 0.0 } else { job.cost };
            self.flows.unlink(line, entry.caller, place, cost);
        } else {
            self.held.remove(&(job.ready_at, key));
        }
        entry.linked = false;
    }

    /// Removes a job from every index but its flow.
    fn detach(&mut self, key: Key) -> Option<entry::Entry<T>> {
        if !self.jobs.contains_key(key) {
            return None;
        }
        self.unlink(key);
        let entry = self.jobs.remove(key)?;
        let job = &entry.job;
        let group = &mut self.groups[usize::from(job.class)];
        group
            .deadlines
            .remove(&place::Place::new(job.deadline, key));
        let tier = &mut self.flows.tiers[group.tier];
        tier.cost = (tier.cost - job.cost).max(0.0);
        if entry.late {
            group.late.remove(&place::Place::new(job.deadline, key));
            tier.late = (tier.late - job.cost).max(0.0);
        }
        group.cost = (group.cost - job.cost).max(0.0);
        let jobs = &self.jobs;
        group.prune(key, |key| jobs.contains_key(key));
        let team = self.flows.callers[entry.caller].team;
        self.flows.teams[team].queued -= 1;
        Some(entry)
    }

    pub(crate) fn drop_job(&mut self, key: Key) -> job::Job<T> {
        let entry = self.detach(key).expect("the key was just found");
        self.flows.leave(entry.caller);
        entry.job
    }

    /// Withdraws a queued job; `None` if it is not queued.
    pub fn cancel(&mut self, key: Key) -> Option<job::Job<T>> {
        self.jobs.contains_key(key).then(|| self.drop_job(key))
    }

    /// Makes a job ineligible until `ready`, without giving up its turn.
    pub fn hold(&mut self, key: Key, ready: time::Duration) {
        if self.jobs.contains_key(key) {
            self.unlink(key);
            self.jobs[key].job.ready_at = ready;
            self.held.insert((ready, key));
        }
    }

    /// Changes the lane of a job.
    pub fn set_lane(&mut self, key: Key, lane: lane::Lane) {
        let Some(entry) = self.jobs.get(key) else {
            return;
        };
        if entry.linked {
            self.unlink(key);
            self.jobs[key].job.lane = lane;
            self.link(key);
        } else {
            self.jobs[key].job.lane = lane;
        }
    }

    /// Makes held jobs eligible whose time has come.
    pub(crate) fn release(&mut self, now: time::Duration) {
        while let Some(&(ready, key)) = self.held.first() {
            if ready > now {
                return;
            }
            self.held.pop_first();
            self.link(key);
        }
    }

    /// Takes a job out of the queue for service and charges its flow.
    ///
    /// Returns `None` if the job is not queued any more.
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
        for group in &mut self.groups {
            group.accrue(now, cost);
        }
        self.groups[usize::from(entry.job.class)].serve(now, cost);
        let charge = charge::Charge {
            caller: entry.caller,
            cost,
        };
        Some((entry.job, charge))
    }

    /// Corrects the charge of a taken job to its true cost in tokens.
    pub fn settle(&mut self, charge: charge::Charge, cost: f64) {
        if self.flows.callers.contains_key(charge.caller) {
            self.flows.correct(charge.caller, cost - charge.cost);
            self.flows.leave(charge.caller);
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

    /// Returns the number of queued jobs of each class.
    pub fn queued_by_class(&self) -> impl Iterator<Item = usize> {
        self.groups.iter().map(group::Group::queued)
    }

    /// Returns a queued job.
    pub fn get(&self, key: Key) -> Option<&job::Job<T>> {
        self.jobs.get(key).map(|entry| &entry.job)
    }

    /// Returns what the owner keeps with each queued job, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.jobs.iter().map(|(key, entry)| (key, &entry.job.data))
    }

    /// Returns the last decisions to give up a job, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &record::Record> {
        self.log.iter()
    }

    /// Returns how many decisions were recorded, those that left the ring included.
    pub const fn records_total(&self) -> u64 {
        self.log.total()
    }

    pub(crate) fn note(
        &mut self,
        at: time::Duration,
        reason: record::Reason,
        dropped: record::Rank,
        kept: Option<record::Rank>,
    ) {
        self.log.push(record::Record {
            at,
            reason,
            dropped,
            kept,
        });
    }

    pub(crate) fn weight(&self, team: u32) -> f64 {
        self.weights.get(&team).copied().unwrap_or(1.0)
    }

    pub(crate) fn class(&self, class: u16) -> u16 {
        class.min((self.groups.len() - 1) as u16)
    }
}

/// Returns the line of a lane of a class, for jobs before or past their target.
pub(crate) fn line(class: u16, lane: lane::Lane, late: bool) -> u32 {
    let half = u32::from(class) * 2 + u32::from(late);
    half * u32::from(lane::Lane::COUNT) + u32::from(lane.index())
}

fn after(one: &record::Rank, other: &record::Rank) -> bool {
    (one.tier, one.deadline) > (other.tier, other.deadline)
}

/// Class of every job when the settings list none.
const CLASS_DEFAULT: class::Class = class::Class {
    tier: 0,
    floor: 0.0,
    starvation_window: time::Duration::from_secs(10),
};
