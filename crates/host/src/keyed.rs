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

/// Runs non-idempotent requests with a key at most once.
pub(crate) struct Runner {
    flow: flow::Flow,
    view: sync::Arc<view::View>,
    peers: peer::Client,
    keys: peer::Keys,
    clock: clock::Clock,
    name: String,
    incarnation: u64,
    serial: atomic::AtomicU64,
    settings: sync::Mutex<sync::Arc<conf::Settings>>,
    owner: sync::Mutex<once::Owner>,
    inner: sync::Mutex<Inner>,
}

struct Inner {
    ledger: once::Ledger<stored::Answer>,
    running: collections::HashMap<String, watch::Receiver<Option<stored::Outcome>>>,
}

/// Who may dispatch a key.
enum Location {
    Local,
    Remote(core::net::SocketAddr),
}

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

    /// Takes over settings.
    pub(crate) fn replace(&self, settings: sync::Arc<conf::Settings>) {
        if !mutex::lock(&self.owner).reconfigure(options(&settings.once)) {
            log::error!(target: "host", "owners changed without a higher epoch; the change is ignored");
        }
        self.set_peer_keys(&settings.fleet.peer_keys);
        *mutex::lock(&self.settings) = settings;
    }

    /// Takes over the shared keys, which sign minted keys, links and datagrams.
    fn set_peer_keys(&self, keys: &[String]) {
        if keys.is_empty() {
            return;
        }
        match wire::Keyring::new(keys) {
            Ok(keyring) => self.keys.replace(keyring),
            Err(cause) => log::error!(target: "host", "peer keys are not taken over: {cause}"),
        }
    }

    /// Returns the datagrams that renew this owner's lease.
    pub(crate) fn claims(&self) -> Vec<(String, once::Claim)> {
        mutex::lock(&self.owner).claims(self.clock.now())
    }

    /// Takes a datagram from another owner.
    pub(crate) fn receive(&self, claim: &once::Claim) {
        mutex::lock(&self.owner).receive(self.clock.now(), claim);
    }

    /// Notices pauses and forgets what is no longer kept.
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

    /// Returns how long an acknowledgement holds.
    pub(crate) fn lease(&self) -> time::Duration {
        mutex::lock(&self.settings).once.lease
    }

    /// Waits until no run is in progress, up to `limit`.
    pub(crate) async fn wait_until_idle(&self, limit: time::Duration) {
        let running: Vec<watch::Receiver<Option<stored::Outcome>>> =
            mutex::lock(&self.inner).running.values().cloned().collect();
        let ended = async {
            for receiver in running {
                // The outcome went to the callers; only the end matters here.
                drop(wait(receiver).await);
            }
        };
        if tokio::time::timeout(limit, ended).await.is_err() {
            log::warn!(target: "host", "runs with keys were cut at the shutdown");
        }
    }

    /// Mints keys that only this process lifetime may dispatch.
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
    /// Returns a refusal whose run state covers earlier attempts with the key.
    pub(crate) async fn serve(
        self: &sync::Arc<Self>,
        request: front::Request,
        terms: terms::Terms,
        key: &str,
    ) -> Result<front::Answer, Refusal> {
        let class = terms.class.to_string();
        let scoped = job::scope(key, &terms);
        let ended = match self.locate(key, &scoped)? {
            Location::Local => self.run(job::Job::new(request, terms, scoped)).await,
            Location::Remote(address) => {
                let run = forward::pack_request(&request, &terms, key);
                forward::unpack_outcome(self.peers.run(address, run).await)
            }
        };
        let stored = ended?;
        Ok(front::Answer {
            status: stored.status,
            headers: stored.headers,
            body: front::Body::from(stored.body),
            class,
            queued: stored.queued,
        })
    }

    /// Runs a request that another host passed on.
    pub(crate) async fn run_forwarded(self: &sync::Arc<Self>, run: wire::Run) -> wire::Outcome {
        let settings = mutex::lock(&self.settings).clone();
        let ended = match forward::unpack_request(run, &settings) {
            Ok((request, terms, key)) => {
                let scoped = job::scope(&key, &terms);
                match self.locate(&key, &scoped) {
                    Ok(Location::Local) => self.run(job::Job::new(request, terms, scoped)).await,
                    // The two hosts have different owners in force for a
                    // moment; passing it on again could go round in circles.
                    Ok(Location::Remote(_)) => Err(Refusal::new(
                        Kind::OwnerUnreachable,
                        "the host that was asked does not own the key",
                    )),
                    Err(refusal) => Err(refusal),
                }
            }
            Err(refusal) => Err(refusal),
        };
        forward::pack_outcome(ended)
    }

    /// Finds the host that may dispatch the key.
    fn locate(&self, key: &str, scoped: &str) -> Result<Location, Refusal> {
        if once::key::is_minted(key) {
            return self.locate_minted(key);
        }
        let settings = mutex::lock(&self.settings).clone();
        let Some(owner) = once::owner_of(&settings.once.owners, scoped) else {
            let text = "the settings name no owners for callers' own keys";
            return Err(Refusal::new(Kind::OwnerUnreachable, text));
        };
        if owner == self.name {
            return Ok(Location::Local);
        }
        match self.view.find(owner) {
            Some(entry) => Ok(Location::Remote(entry.peer)),
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
                Ok(Location::Remote(entry.peer))
            }
            _ => {
                let text = format!("the host {} that minted the key is gone", minted.host);
                Err(Refusal::new(Kind::OutcomeUnknown, text))
            }
        }
    }

    /// Returns whether a key that is not in the ledger may run here now.
    fn check_permit(&self, job: &job::Job) -> Result<(), Kind> {
        let now = self.clock.now();
        let Some(key) = &job.request.key else {
            return Err(Kind::BadKey);
        };
        if once::key::is_minted(key) {
            let max_age = mutex::lock(&self.settings).once.resend_max_age;
            return once::key::verify(key, &self.shared_keys())?.may_dispatch(now, max_age);
        }
        let (first, wall) = (job.request.request_time, clock::Clock::wall_ms());
        mutex::lock(&self.owner).may_dispatch(now, &job.key, first, wall)
    }

    async fn run(self: &sync::Arc<Self>, job: job::Job) -> stored::Outcome {
        let permit = self.check_permit(&job);
        let receiver = match self.admit(&job, permit) {
            Admission::Run(sender, receiver) => {
                // The run goes on when its caller hangs up: a repeat gets the
                // answer. Its outcome must be recorded in any case.
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

    /// Checks the permit again and records that a byte may be sent from now on.
    fn gate(&self, job: &job::Job, started: &atomic::AtomicBool) -> Result<(), Refusal> {
        if let Err(kind) = self.check_permit(job) {
            mutex::lock(&self.inner)
                .ledger
                .revoke(self.clock.now(), &job.key);
            log::warn!(target: "host", "request {} lost its permit before the dispatch: {kind}", job.request.id);
            return Err(stored::refusal(Kind::OutcomeUnknown));
        }
        // A second attempt follows only a connection that was never made.
        let first = !started.swap(true, atomic::Ordering::Relaxed);
        if first && !mutex::lock(&self.inner).ledger.start_dispatch(&job.key) {
            return Err(stored::refusal(Kind::OutcomeUnknown));
        }
        Ok(())
    }

    fn record(&self, job: &job::Job, outcome: stored::Outcome) -> stored::Outcome {
        let now = self.clock.now();
        let mut inner = mutex::lock(&self.inner);
        // Under the lock of the ledger: a repeat that is admitted once the entry
        // is gone has an entry of its own here.
        inner.running.remove(&job.key);
        match outcome {
            Ok(stored) => {
                inner.ledger.complete(now, &job.key, stored.clone());
                Ok(stored)
            }
            Err(cause) => {
                let reached = cause.run() != answer::Run::NotRun;
                let kind = inner.ledger.fail(now, &job.key, reached, cause.kind);
                Err(Refusal { kind, ..cause })
            }
        }
    }

    fn shared_keys(&self) -> Vec<String> {
        mutex::lock(&self.settings).fleet.peer_keys.clone()
    }
}

enum Admission {
    Run(
        watch::Sender<Option<stored::Outcome>>,
        watch::Receiver<Option<stored::Outcome>>,
    ),
    Wait(watch::Receiver<Option<stored::Outcome>>),
    Replay(stored::Answer),
    Refuse(Kind),
}

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
