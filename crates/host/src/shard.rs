use core::time;
use std::collections;
use std::net;
use std::sync;

use pool::Action;
use tokio::sync::oneshot;

use base::clock;
use base::mutex;

/// The right to use one slot at an endpoint for one request.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// Identity of the endpoint across hosts, as `name@address`.
    pub(crate) name: String,
    pub(crate) address: net::SocketAddr,
    /// Fencing number of the home that gave the grant.
    pub(crate) fence: u64,
    /// Time after which the grant must not be used, from the start of the process.
    pub(crate) dispatch_by: time::Duration,
}

/// Time within which a grant must be used. A host that was paused while it held
/// a grant asks again.
const DISPATCH_WITHIN: time::Duration = time::Duration::from_secs(1);

/// Decision on an ask.
pub(crate) type Verdict = Result<Grant, answer::Refusal>;

/// An endpoint of the shard according to the settings.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) endpoint: pool::Endpoint,
    /// Identity of the endpoint across hosts, as `name@address`.
    pub(crate) name: String,
    pub(crate) address: net::SocketAddr,
}

/// State of the queue and the endpoints of a shard, for the administration API.
pub(crate) struct Inspection {
    pub(crate) stats: pool::Stats,
    /// Endpoints by their identity, `name@address`.
    pub(crate) endpoints: collections::HashMap<String, Usage>,
}

/// Usage of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Requests that this shard granted and that have not ended.
    pub(crate) in_flight: u32,
    /// Last load report; absent if none was received.
    pub(crate) load: Option<pool::Load>,
}

struct Inner {
    policy: Box<dyn pool::Policy>,
    members: collections::HashMap<pool::EndpointId, Member>,
    /// Asks without a verdict.
    waiting: collections::HashMap<pool::RequestId, oneshot::Sender<Verdict>>,
    /// Last load report of each endpoint.
    loads: collections::HashMap<pool::EndpointId, pool::Load>,
    /// Id of the next ask; the number of asks so far.
    next_id: u64,
    /// Buffer that is reused for the decisions of the policy.
    actions: Vec<Action>,
    fence: Fence,
}

/// Fencing number of this home.
struct Fence {
    /// Unix time in milliseconds, or more.
    number: u64,
    renewed_at: Option<time::Duration>,
    /// Whether this host is the home according to its own membership view.
    is_home: bool,
}

/// Minimum time between two renewals of a fencing number. During a network
/// partition, two homes alternate at an endpoint that checks the numbers, at
/// most once per period.
const FENCE_PERIOD: time::Duration = time::Duration::from_secs(1);

impl Fence {
    fn new() -> Self {
        Self {
            // The wall clock gives the later of two successive homes the higher
            // number.
            number: clock::Clock::wall_ms(),
            renewed_at: None,
            is_home: true,
        }
    }

    /// Raises the number, at most once per [`FENCE_PERIOD`] and only at the home.
    ///
    /// Needed when another home may have dispatched to the endpoint meanwhile.
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

/// One shard of a pool at its home host: the queue and the endpoints, under one
/// lock.
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

    /// Applies new settings. Loads of removed endpoints are dropped.
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

    /// Queues an ask.
    ///
    /// `fill` builds the request from the id that the shard assigns and the
    /// present time.
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

    /// Withdraws an ask, queued or granted.
    ///
    /// `result` is the outcome that is recorded for a granted ask.
    pub(crate) fn abandon(&self, id: pool::RequestId, result: pool::Outcome) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.waiting.remove(&id).is_some() {
            self.apply(&mut inner, |policy, out| policy.cancel(now, id, out));
            return;
        }
        // The grant may have been in transit when the requester disconnected.
        let finish = pool::Finish {
            outcome: result,
            tokens: 0,
        };
        self.apply(&mut inner, |policy, out| {
            policy.finish(now, id, finish, out)
        });
    }

    /// Records the first output of a granted ask.
    pub(crate) fn record_first_output(&self, id: pool::RequestId) {
        let now = self.clock.now();
        self.lock().policy.record_first_output(now, id);
    }

    /// Records that the endpoint of a granted ask wants no requests for a time.
    pub(crate) fn pause(&self, id: pool::RequestId, pause: time::Duration) {
        if !pause.is_zero() {
            let now = self.clock.now();
            self.lock().policy.pause(now, id, pause);
        }
    }

    /// Records the end of a granted ask and frees its slot.
    pub(crate) fn finish(&self, id: pool::RequestId, finish: pool::Finish) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if finish.outcome == pool::Outcome::Refused {
            // The endpoint may have accepted a higher fencing number of another
            // home.
            inner.fence.renew(now);
        }
        self.apply(&mut inner, |policy, out| {
            policy.finish(now, id, finish, out)
        });
    }

    /// Sets whether this host is the home; renews the fencing number when it
    /// becomes the home.
    pub(crate) fn set_home(&self, is_home: bool) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let becomes_home = is_home && !inner.fence.is_home;
        inner.fence.is_home = is_home;
        if becomes_home {
            inner.fence.renew(now);
        }
    }

    /// Records that a request was in flight when an endpoint crashed. `endpoint` is
    /// its number from [`crate::state::State::crash_number`].
    pub(crate) fn record_crash(&self, fingerprint: u64, endpoint: u64) {
        let now = self.clock.now();
        self.lock().policy.record_crash(now, fingerprint, endpoint);
    }

    /// Records that the leading part of a prompt may have crashed an endpoint.
    /// `endpoint` is as in [`Shard::record_crash`].
    pub(crate) fn record_part_crash(&self, part: u64, fingerprint: u64, endpoint: u64) {
        let now = self.clock.now();
        let mut inner = self.lock();
        (inner.policy).record_part_crash(now, part, fingerprint, endpoint);
    }

    /// Records a load report of an endpoint.
    pub(crate) fn record_load(&self, id: pool::EndpointId, load: pool::Load) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.loads.insert(id, load);
        self.apply(&mut inner, |policy, out| {
            policy.record_load(now, id, load, out)
        });
    }

    /// Runs the periodic work of the policy.
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

    /// Returns the number of asks since the shard was created at this host.
    pub(crate) fn asks(&self) -> u64 {
        self.lock().next_id
    }

    /// Returns the state of the queue and the endpoints.
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

    /// Passes one input to the policy and executes its decisions.
    ///
    /// A grant whose requester has disconnected is returned at once, which may
    /// cause further decisions.
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

    /// Executes a decision; returns the request if its grant was not delivered.
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
                // A requester that has disconnected needs no refusal.
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

/// Withdraws an ask if it is dropped before the verdict was received.
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

    /// Disables the withdrawal once the verdict was received.
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
