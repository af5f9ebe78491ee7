use core::time;
use std::collections;
use std::sync;
use std::sync::atomic;

use answer::{Kind, Refusal};
use tokio::sync::watch;

use crate::flow;
use crate::forward;
use crate::job;
use crate::stored;
use crate::terms;
use crate::view;
use base::clock;
use base::mutex;

/// Runs non-idempotent requests with an idempotency key at most once.
///
/// Each key has one host that may dispatch it: the host that minted it, or the
/// configured owner of a caller's own key. Other hosts forward the request.
pub(crate) struct Runner {
    flow: flow::Flow,
    view: sync::Arc<view::View>,
    peers: peer::Client,
    keys: peer::Keys,
    clock: clock::Clock,
    name: String,
    incarnation: u64,
    /// Serial number of the next minted key.
    serial: atomic::AtomicU64,
    settings: sync::Mutex<sync::Arc<conf::Settings>>,
    owner: sync::Mutex<once::Owner>,
    inner: sync::Mutex<Inner>,
}

struct Inner {
    ledger: once::Ledger<stored::Answer>,
    /// Runs in progress by key, with the receiver of their outcome.
    running: collections::HashMap<String, watch::Receiver<Option<stored::Outcome>>>,
}

/// Host that may dispatch a key.
enum Location {
    Local,
    Remote(Box<fleet::Entry>),
}

/// Pause before a forwarded request whose link failed is sent again.
const REPEAT_PAUSE: time::Duration = time::Duration::from_millis(100);

impl Runner {
    pub(crate) fn new(
        flow: flow::Flow,
        view: sync::Arc<view::View>,
        peers: peer::Client,
        keys: peer::Keys,
        identity: &peer::Identity,
        settings: sync::Arc<conf::Settings>,
    ) -> Self {
        let peer::Identity { name, incarnation } = identity.clone();
        let options = options(&settings.once);
        let inner = Inner {
            ledger: once::Ledger::new(options.retention(), settings.once.kept_max),
            running: collections::HashMap::new(),
        };
        Self {
            clock: flow.clock,
            flow,
            view,
            peers,
            keys,
            serial: atomic::AtomicU64::new(0),
            owner: sync::Mutex::new(once::Owner::new(name.as_str(), incarnation, options)),
            name,
            incarnation,
            settings: sync::Mutex::new(settings),
            inner: sync::Mutex::new(inner),
        }
    }

    /// Applies new settings.
    ///
    /// If the owners changed without a higher epoch, the lease keeps its previous
    /// settings and an error is logged.
    pub(crate) fn replace(&self, settings: sync::Arc<conf::Settings>) {
        if !mutex::lock(&self.owner).reconfigure(options(&settings.once)) {
            log::error!(
                target: "host",
                "owners of idempotency keys changed without a higher epoch; the change is ignored"
            );
        }
        self.set_peer_keys(&settings.fleet.peer_keys);
        *mutex::lock(&self.settings) = settings;
    }

    /// Replaces the shared keys, which sign minted keys, links and datagrams.
    ///
    /// An empty list leaves the present keys in use.
    fn set_peer_keys(&self, keys: &[String]) {
        if keys.is_empty() {
            return;
        }
        match wire::Keyring::new(keys) {
            Ok(keyring) => self.keys.replace(keyring),
            Err(cause) => {
                log::error!(
                    target: "host",
                    "peer keys cannot be used; the present ones stay in use: {cause}"
                )
            }
        }
    }

    /// Returns the claims that renew this owner's lease, with the host that each
    /// is sent to.
    pub(crate) fn claims(&self) -> Vec<(String, once::Claim)> {
        mutex::lock(&self.owner).claims(self.clock.now())
    }

    /// Processes a claim of another owner.
    pub(crate) fn receive(&self, claim: &once::Claim) {
        mutex::lock(&self.owner).receive(self.clock.now(), claim);
    }

    /// Detects pauses of the process and evicts expired results.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        mutex::lock(&self.owner).tick(now);
        mutex::lock(&self.inner).ledger.tick(now);
    }

    /// Returns whether this host holds the lease on its keys.
    pub(crate) fn holds_lease(&self) -> bool {
        mutex::lock(&self.owner)
            .exclusive_since(self.clock.now())
            .is_some()
    }

    /// Returns the duration of the lease.
    pub(crate) fn lease(&self) -> time::Duration {
        mutex::lock(&self.settings).once.lease
    }

    /// Waits until the runs that are in progress have ended, for at most `limit`.
    pub(crate) async fn wait_until_idle(&self, limit: time::Duration) {
        let running: Vec<watch::Receiver<Option<stored::Outcome>>> =
            mutex::lock(&self.inner).running.values().cloned().collect();
        let ended = async {
            for receiver in running {
                // The callers receive the outcome; only the end matters here.
                drop(wait(receiver).await);
            }
        };
        if tokio::time::timeout(limit, ended).await.is_err() {
            log::warn!(
                target: "host",
                "shutdown aborts the requests with idempotency keys that run after {} s",
                limit.as_secs()
            );
        }
    }

    /// Mints keys that only this process may dispatch, until it stops.
    ///
    /// Returns none if the settings contain no shared key to sign them.
    pub(crate) fn mint(&self, count: usize) -> Vec<String> {
        let shared = self.shared_keys();
        let Some(shared) = shared.first() else {
            return Vec::new();
        };
        let now = self.clock.now();
        (0..count)
            .map(|_| {
                let minted = once::key::Minted {
                    host: self.name.clone(),
                    incarnation: self.incarnation,
                    serial: self.serial.fetch_add(1, atomic::Ordering::Relaxed),
                    minted_at: time::Duration::from_millis(now.as_millis() as u64),
                };
                minted.sign(shared.as_bytes())
            })
            .collect()
    }

    /// Serves a request with a key, here or at the host that may dispatch it.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose run state accounts for earlier attempts with the
    /// key.
    pub(crate) async fn serve(
        self: &sync::Arc<Self>,
        request: front::Request,
        terms: terms::Terms,
        key: &str,
    ) -> Result<front::Response, Refusal> {
        let class = terms.class.to_string();
        let scoped = job::scope(key, &terms);
        let ended = match self.locate(key, &scoped)? {
            Location::Local => self.run(job::Job::new(request, terms, scoped)).await,
            Location::Remote(owner) => self.forward(&request, &terms, key, &owner).await,
        };
        let stored = ended?;
        Ok(front::Response {
            status: stored.status,
            headers: stored.headers,
            body: front::Body::from(stored.body),
            class,
            queue_time: stored.queued,
        })
    }

    /// Forwards a request to the host that may dispatch its key.
    ///
    /// The run goes on at the owner when the link fails, so the request is sent again
    /// until the deadline, or until the owner has ended: the ledger of the owner
    /// answers a repeat with the outcome of the run. A key of the caller without the
    /// time of its first attempt is not sent again, because the owner could not tell a
    /// repeat that comes too late.
    async fn forward(
        &self,
        request: &front::Request,
        terms: &terms::Terms,
        key: &str,
        owner: &fleet::Entry,
    ) -> stored::Outcome {
        let is_timed = request.request_time_ms.is_some() || once::key::is_minted(key);
        let deadline = self.clock.now() + terms.deadline;
        let mut run = forward::pack_request(request, terms, key);
        let mut is_lost = false;
        loop {
            let outcome = self.peers.run(owner.peer, run.clone()).await;
            is_lost |= matches!(&outcome, Err(peer::Error::Lost(_)));
            let left = deadline.saturating_sub(self.clock.now());
            let may_repeat = is_lost && is_timed && left > REPEAT_PAUSE;
            if !may_repeat
                || !forward::is_link_failure(&outcome)
                || self.view.has_ended(&owner.name, owner.incarnation)
            {
                return forward::unpack_outcome(outcome, is_lost);
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
            run.budget_ms = (left - REPEAT_PAUSE).as_millis() as u64;
        }
    }

    /// Runs a request that another host forwarded.
    pub(crate) async fn run_forwarded(self: &sync::Arc<Self>, run: wire::Run) -> wire::Outcome {
        let settings = mutex::lock(&self.settings).clone();
        let ended = match forward::unpack_request(run, &settings) {
            Ok((request, terms, key)) => {
                let scoped = job::scope(&key, &terms);
                match self.locate(&key, &scoped) {
                    Ok(Location::Local) => self.run(job::Job::new(request, terms, scoped)).await,
                    // The two hosts have different owners in force for a short
                    // time. Forwarding again could create a loop.
                    Ok(Location::Remote(_)) => Err(Refusal::new(
                        Kind::OwnerUnreachable,
                        "the host that received the forwarded request does not own the key",
                    )),
                    Err(refusal) => Err(refusal),
                }
            }
            Err(refusal) => Err(refusal),
        };
        forward::pack_outcome(ended)
    }

    /// Determines the host that may dispatch the key.
    fn locate(&self, key: &str, scoped: &str) -> Result<Location, Refusal> {
        if once::key::is_minted(key) {
            return self.locate_minted(key);
        }
        let settings = mutex::lock(&self.settings).clone();
        let Some(owner) = once::owner_of(&settings.once.owners, scoped) else {
            let text = "the settings list no owners for callers' own keys";
            return Err(Refusal::new(Kind::OwnerUnreachable, text));
        };
        if owner == self.name {
            return Ok(Location::Local);
        }
        match self.view.find(owner) {
            Some(entry) => Ok(Location::Remote(Box::new(entry))),
            None => {
                let text = format!("host {owner}, the owner of the key, is not known");
                Err(Refusal::new(Kind::OwnerUnreachable, text))
            }
        }
    }

    fn locate_minted(&self, key: &str) -> Result<Location, Refusal> {
        let minted = once::key::verify(key, &self.shared_keys())
            .map_err(|kind| Refusal::new(kind, "the key was not minted by this system"))?;
        if minted.host == self.name && minted.incarnation == self.incarnation {
            return Ok(Location::Local);
        }
        match self.view.find(&minted.host) {
            Some(entry) if entry.incarnation == minted.incarnation => {
                Ok(Location::Remote(Box::new(entry)))
            }
            _ => {
                let text = format!(
                    "host {}, which minted the key, has stopped or is unknown",
                    minted.host
                );
                Err(Refusal::new(Kind::OutcomeUnknown, text))
            }
        }
    }

    /// Checks whether a key without an entry in the ledger may run here now.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if it may not.
    fn check_permit(&self, job: &job::Job) -> Result<(), Kind> {
        let now = self.clock.now();
        let Some(key) = &job.request.idempotency_key else {
            return Err(Kind::BadKey);
        };
        if once::key::is_minted(key) {
            let max_age = mutex::lock(&self.settings).once.resend_max_age;
            return once::key::verify(key, &self.shared_keys())?.may_dispatch(now, max_age);
        }
        let (first, wall) = (job.request.request_time_ms, clock::Clock::wall_ms());
        mutex::lock(&self.owner).may_dispatch(now, &job.key, first, wall)
    }

    async fn run(self: &sync::Arc<Self>, job: job::Job) -> stored::Outcome {
        let permit = self.check_permit(&job);
        let receiver = match self.admit(&job, permit) {
            Admission::Run(sender, receiver) => {
                // The run continues when its caller disconnects: a repeated
                // request receives the answer, and the outcome must be recorded
                // in any case.
                tokio::spawn(self.clone().execute(job, sender));
                receiver
            }
            Admission::Wait(receiver) => receiver,
            Admission::Replay(stored) => return Ok(stored.replayed()),
            Admission::Refuse(kind) => return Err(stored::refusal(kind)),
        };
        wait(receiver).await
    }

    fn admit(&self, job: &job::Job, permit: Result<(), Kind>) -> Admission {
        let request = once::Request {
            key: &job.key,
            fingerprint: job.fingerprint,
            permit,
        };
        let mut inner = mutex::lock(&self.inner);
        match inner.ledger.admit(self.clock.now(), &request) {
            once::Decision::Run => {
                let (sender, receiver) = watch::channel(None);
                inner.running.insert(job.key.clone(), receiver.clone());
                Admission::Run(sender, receiver)
            }
            once::Decision::Wait => match inner.running.get(&job.key) {
                Some(receiver) => Admission::Wait(receiver.clone()),
                None => Admission::Refuse(Kind::OutcomeUnknown),
            },
            once::Decision::Replay(stored) => Admission::Replay(stored),
            once::Decision::Refuse(kind) => Admission::Refuse(kind),
        }
    }

    async fn execute(
        self: sync::Arc<Self>,
        job: job::Job,
        sender: watch::Sender<Option<stored::Outcome>>,
    ) {
        let started = atomic::AtomicBool::new(false);
        let gate = || self.gate(&job, &started);
        let outcome = self
            .flow
            .serve(&job.request, &job.terms, flow::Delivery::Whole, &gate)
            .await;
        let outcome = match outcome {
            Ok(answer) => stored::read(answer).await,
            Err(refusal) => Err(refusal),
        };
        let ended = self.record(&job, outcome);
        sender.send_replace(Some(ended));
    }

    /// Checks the permit again and records that the dispatch starts.
    ///
    /// # Errors
    ///
    /// Refuses with `OutcomeUnknown` if the permit or the entry in the ledger is
    /// lost.
    fn gate(&self, job: &job::Job, started: &atomic::AtomicBool) -> Result<(), Refusal> {
        if let Err(kind) = self.check_permit(job) {
            mutex::lock(&self.inner)
                .ledger
                .revoke(self.clock.now(), &job.key);
            log::warn!(
                target: "host",
                "request {} may no longer be dispatched with its key: {kind}",
                job.request.id
            );
            return Err(stored::refusal(Kind::OutcomeUnknown));
        }
        // A second attempt follows only a connection that was never established.
        let is_first = !started.swap(true, atomic::Ordering::Relaxed);
        if is_first && !mutex::lock(&self.inner).ledger.start_dispatch(&job.key) {
            return Err(stored::refusal(Kind::OutcomeUnknown));
        }
        Ok(())
    }

    fn record(&self, job: &job::Job, outcome: stored::Outcome) -> stored::Outcome {
        let now = self.clock.now();
        let mut inner = mutex::lock(&self.inner);
        // Removed under the lock of the ledger, so that a repeated request that
        // is admitted after this has its own entry.
        inner.running.remove(&job.key);
        match outcome {
            Ok(stored) => {
                inner.ledger.complete(now, &job.key, stored.clone());
                Ok(stored)
            }
            Err(cause) => {
                let reached = cause.run_state() != answer::RunState::NotRun;
                let kind = inner.ledger.fail(now, &job.key, reached, cause.kind);
                Err(Refusal { kind, ..cause })
            }
        }
    }

    fn shared_keys(&self) -> Vec<String> {
        mutex::lock(&self.settings).fleet.peer_keys.clone()
    }
}

/// Decision of the ledger on a request.
enum Admission {
    Run(
        watch::Sender<Option<stored::Outcome>>,
        watch::Receiver<Option<stored::Outcome>>,
    ),
    Wait(watch::Receiver<Option<stored::Outcome>>),
    Replay(stored::Answer),
    Refuse(Kind),
}

/// Waits for the outcome of a run; a run that stops without one has an unknown
/// outcome.
async fn wait(mut receiver: watch::Receiver<Option<stored::Outcome>>) -> stored::Outcome {
    match receiver.wait_for(Option::is_some).await {
        Ok(ended) => ended
            .clone()
            .unwrap_or_else(|| Err(stored::refusal(Kind::OutcomeUnknown))),
        Err(_) => Err(stored::refusal(Kind::OutcomeUnknown)),
    }
}

fn options(settings: &conf::settings::Once) -> once::Options {
    once::Options {
        owners: settings.owners.clone(),
        previous_owners: settings.previous_owners.clone(),
        epoch: settings.epoch,
        lease: settings.lease,
        clock_skew: settings.clock_skew,
        resend_max_age: settings.resend_max_age,
    }
}
