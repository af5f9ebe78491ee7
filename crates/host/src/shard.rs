use core::time;
use std::collections;
use std::net;
use std::sync;

use pool::Action;
use tokio::sync::oneshot;
use xxhash_rust::xxh3;

use base::clock;
use base::mutex;

/// A place at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// Identity of the endpoint across hosts: its name and address.
    pub(crate) name: String,
    pub(crate) address: net::SocketAddr,
    /// Fencing number of the home.
    pub(crate) fence: u64,
    /// Time after which the grant must not be used.
    pub(crate) dispatch_by: time::Duration,
}

/// How long a grant may be used after it was given. A host that was paused
/// with a grant asks again.
const DISPATCH_WITHIN: time::Duration = time::Duration::from_secs(1);

pub(crate) type Verdict = Result<Grant, answer::Refusal>;

/// An endpoint as the settings list it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) endpoint: pool::Endpoint,
    pub(crate) name: String,
    pub(crate) address: net::SocketAddr,
}

/// What a shard knows of its queue and its endpoints.
pub(crate) struct Inspection {
    pub(crate) stats: pool::Stats,
    /// Endpoints by their identity.
    pub(crate) endpoints: collections::HashMap<String, Usage>,
}

/// What a shard knows of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    pub(crate) in_flight: u32,
    pub(crate) load: Option<pool::Load>,
}

struct Inner {
    policy: Box<dyn pool::Policy>,
    members: collections::HashMap<pool::EndpointId, Member>,
    waiting: collections::HashMap<pool::RequestId, oneshot::Sender<Verdict>>,
    loads: collections::HashMap<pool::EndpointId, pool::Load>,
    next_id: u64,
    actions: Vec<Action>,
    fence: Fence,
}

/// Fencing number of this home.
struct Fence {
    number: u64,
    renewed_at: Option<time::Duration>,
    /// Whether this host takes itself for the home.
    is_home: bool,
}

/// Shortest time between two renewals of a fencing number. During a split, two
/// homes take turns at an endpoint that checks the numbers, no faster than this.
const FENCE_PERIOD: time::Duration = time::Duration::from_secs(1);

impl Fence {
    fn new() -> Self {
        Self {
            // Of two hosts that are home one after the other, the later one
            // has the higher number.
            number: clock::Clock::wall_ms(),
            renewed_at: None,
            is_home: true,
        }
    }

    /// Takes a higher number if another home may have given orders meanwhile.
    fn renew(&mut self, now: time::Duration) {
        let due = self
            .renewed_at
            .is_none_or(|at| now.saturating_sub(at) >= FENCE_PERIOD);
        if self.is_home && due {
            self.number = clock::Clock::wall_ms().max(self.number + 1);
            self.renewed_at = Some(now);
        }
    }
}

/// One shard of a pool at its home host, under one lock.
pub(crate) struct Shard {
    inner: sync::Mutex<Inner>,
    clock: clock::Clock,
}

impl Shard {
    pub(crate) fn new(policy: Box<dyn pool::Policy>, clock: clock::Clock) -> Self {
        let inner = Inner {
            policy,
            members: collections::HashMap::new(),
            waiting: collections::HashMap::new(),
            loads: collections::HashMap::new(),
            next_id: 0,
            actions: Vec::new(),
            fence: Fence::new(),
        };
        Self {
            inner: sync::Mutex::new(inner),
            clock,
        }
    }

    /// Takes over what the settings say.
    pub(crate) fn configure(&self, options: pool::Options, members: Vec<Member>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.policy.configure(now, options);
        let set: Vec<pool::Endpoint> = members.iter().map(|member| member.endpoint).collect();
        inner.members = members
            .into_iter()
            .map(|member| (member.endpoint.id, member))
            .collect();
        let Inner { loads, members, .. } = &mut *inner;
        loads.retain(|id, _| members.contains_key(id));
        self.apply(&mut inner, |policy, out| {
            policy.set_endpoints(now, &set, out)
        });
    }

    /// Queues an ask; `fill` gets the identity that the shard gives it.
    pub(crate) fn ask(
        &self,
        fill: impl FnOnce(pool::RequestId, time::Duration) -> pool::Request,
    ) -> (pool::RequestId, oneshot::Receiver<Verdict>) {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        let id = pool::RequestId(inner.next_id);
        inner.next_id += 1;
        inner.waiting.insert(id, sender);
        let ask = fill(id, now);
        self.apply(&mut inner, |policy, out| policy.submit(now, ask, out));
        (id, receiver)
    }

    /// Gives up an ask, queued or granted.
    ///
    /// `result` is the end of an ask that was granted.
    pub(crate) fn abandon(&self, id: pool::RequestId, result: pool::Outcome) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.waiting.remove(&id).is_some() {
            self.apply(&mut inner, |policy, out| policy.cancel(now, id, out));
            return;
        }
        // The grant may have been on its way when its asker left.
        let finish = pool::Finish {
            outcome: result,
            tokens: 0,
        };
        self.apply(&mut inner, |policy, out| {
            policy.finish(now, id, finish, out)
        });
    }

    /// Notes the first output of a granted ask.
    pub(crate) fn record_first_output(&self, id: pool::RequestId) {
        let now = self.clock.now();
        self.lock().policy.record_first_output(now, id);
    }

    /// Notes the end of a granted ask.
    pub(crate) fn finish(&self, id: pool::RequestId, finish: pool::Finish) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if finish.outcome == pool::Outcome::Refused {
            // The endpoint may have taken orders of another home.
            inner.fence.renew(now);
        }
        self.apply(&mut inner, |policy, out| {
            policy.finish(now, id, finish, out)
        });
    }

    /// Notes whether this host takes itself for the home.
    pub(crate) fn set_home(&self, is_home: bool) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let becomes = is_home && !inner.fence.is_home;
        inner.fence.is_home = is_home;
        if becomes {
            inner.fence.renew(now);
        }
    }

    /// Notes that a request was in flight at the crash of an endpoint of
    /// another shard.
    pub(crate) fn record_crash(&self, fingerprint: u64, endpoint: &str) {
        let now = self.clock.now();
        let endpoint = xxh3::xxh3_64(endpoint.as_bytes());
        self.lock().policy.record_crash(now, fingerprint, endpoint);
    }

    /// Notes a load report.
    pub(crate) fn record_load(&self, id: pool::EndpointId, load: pool::Load) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.loads.insert(id, load);
        self.apply(&mut inner, |policy, out| {
            policy.record_load(now, id, load, out)
        });
    }

    /// Lets the policy do what is due.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        self.apply(&mut inner, |policy, out| policy.tick(now, out));
    }

    /// Returns whether an ask is queued or granted here.
    pub(crate) fn is_busy(&self) -> bool {
        let now = self.clock.now();
        let inner = self.lock();
        let stats = inner.policy.stats(now);
        !inner.waiting.is_empty() || stats.in_flight.iter().any(|(_, count)| *count > 0)
    }

    /// Returns the number of asks since the shard was created here.
    pub(crate) fn asks(&self) -> u64 {
        self.lock().next_id
    }

    /// Returns what is known of the queue and the endpoints.
    pub(crate) fn inspect(&self) -> Inspection {
        let now = self.clock.now();
        let inner = self.lock();
        let stats = inner.policy.stats(now);
        let in_flight: collections::HashMap<u32, u32> = stats.in_flight.iter().copied().collect();
        let usage = |member: &Member| {
            let id = member.endpoint.id;
            let usage = Usage {
                in_flight: in_flight.get(&id.0).copied().unwrap_or(0),
                load: inner.loads.get(&id).copied(),
            };
            (member.name.clone(), usage)
        };
        let endpoints = inner.members.values().map(usage).collect();
        Inspection { stats, endpoints }
    }

    /// Lists the endpoints of the shard.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.lock().members.values().cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        mutex::lock(&self.inner)
    }

    /// Runs one input of the policy and carries out its decisions. A grant
    /// whose asker has gone is returned at once, which may cause further
    /// decisions.
    fn apply(
        &self,
        inner: &mut Inner,
        input: impl FnOnce(&mut dyn pool::Policy, &mut Vec<Action>),
    ) {
        let mut actions = core::mem::take(&mut inner.actions);
        input(inner.policy.as_mut(), &mut actions);
        let mut index = 0;
        while index < actions.len() {
            let action = actions[index];
            index += 1;
            if let Some(unused) = self.carry_out(inner, action) {
                let finish = pool::Finish {
                    outcome: pool::Outcome::Unused,
                    tokens: 0,
                };
                let now = self.clock.now();
                inner.policy.finish(now, unused, finish, &mut actions);
            }
        }
        actions.clear();
        inner.actions = actions;
    }

    /// Returns the ask if its grant could not be delivered.
    fn carry_out(&self, inner: &mut Inner, action: Action) -> Option<pool::RequestId> {
        match action {
            Action::Grant { request, endpoint } => {
                let sender = inner.waiting.remove(&request)?;
                let Some(member) = inner.members.get(&endpoint) else {
                    return Some(request);
                };
                let grant = Grant {
                    name: member.name.clone(),
                    address: member.address,
                    fence: inner.fence.number,
                    dispatch_by: self.clock.now() + DISPATCH_WITHIN,
                };
                sender.send(Ok(grant)).err().map(|_| request)
            }
            Action::Refuse {
                request,
                kind,
                retry_after,
            } => {
                let sender = inner.waiting.remove(&request)?;
                let refusal = answer::Refusal {
                    kind,
                    message: message(kind),
                    retry_after,
                };
                // An asker that has gone needs no refusal.
                drop(sender.send(Err(refusal)));
                None
            }
        }
    }
}

fn message(kind: answer::Kind) -> String {
    let text = match kind {
        answer::Kind::Overload => "the deadline cannot be met at the present load",
        answer::Kind::Shed => "a request of a higher tier or an earlier deadline took the place",
        answer::Kind::Expired => "the deadline passed while the request was queued",
        answer::Kind::NoEndpoint => "no endpoint of the pool is up",
        answer::Kind::Poison => "the request crashed endpoints",
        answer::Kind::RetryBudget => "the retry budget is used up",
        _ => "the request was refused",
    };
    text.to_owned()
}

/// Gives up an ask when its request is dropped before the verdict was taken.
pub(crate) struct Guard {
    shard: sync::Arc<Shard>,
    id: Option<pool::RequestId>,
}

impl Guard {
    pub(crate) const fn new(shard: sync::Arc<Shard>, id: pool::RequestId) -> Self {
        Self {
            shard,
            id: Some(id),
        }
    }

    /// Notes that the ask has its verdict.
    pub(crate) const fn disarm(&mut self) {
        self.id = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.shard.abandon(id, pool::Outcome::Unused);
        }
    }
}
