use core::time;
use std::collections;

use crate::decision;
use crate::pause;
use crate::request;

/// Progress of a key.
#[derive(Clone, Debug)]
enum State<A> {
    /// Admitted; no byte has been sent to an endpoint.
    Admitted,
    /// Dispatched; a byte may have reached the endpoint.
    Dispatched,
    /// The run ended with this answer.
    Completed(A),
    /// The key must not run; its callers are answered with the run state `unknown`.
    Closed,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    fingerprint: request::Fingerprint,
    state: State<A>,
}

/// The record of the idempotency keys of one process lifetime.
///
/// Until the entry of a key expires, at most one of its dispatches may reach an
/// endpoint. `A` is the whole answer of a run. The host must call
/// [`Ledger::tick`] several times per second.
#[derive(Clone, Debug)]
pub struct Ledger<A> {
    retention: time::Duration,
    entries_max: usize,
    entries: collections::HashMap<String, Entry<A>>,
    /// Ended entries in the order of their expiry, in running time.
    expiry: collections::VecDeque<(time::Duration, String)>,
    /// Running time until which new keys are refused, because the refusal of a
    /// key could not be recorded.
    refuse_until: time::Duration,
    pause: pause::Detector,
    /// Total length of the pauses of the process.
    pause_total: time::Duration,
}

impl<A: Clone> Ledger<A> {
    /// Returns an empty ledger.
    ///
    /// `retention` is how long an ended entry is kept; it must be
    /// [`Options::retention`](crate::Options::retention). `entries_max` bounds
    /// the number of entries.
    pub fn new(retention: time::Duration, entries_max: usize) -> Self {
        Self {
            retention,
            entries_max,
            entries: collections::HashMap::new(),
            expiry: collections::VecDeque::new(),
            refuse_until: time::Duration::ZERO,
            pause: pause::Detector::default(),
            pause_total: time::Duration::ZERO,
        }
    }

    /// Detects pauses and removes expired entries.
    ///
    /// Time that the process spent paused does not age an entry, because a
    /// repeat may have waited in a socket for the whole pause.
    pub fn tick(&mut self, now: time::Duration) {
        if let Some(gap) = self.pause.observe(now) {
            self.pause_total += gap;
        }
        let running = self.running_time(now);
        while let Some((at, _)) = self.expiry.front()
            && *at <= running
        {
            let (_, key) = self
                .expiry
                .pop_front()
                .expect("the queue has a front entry");
            self.entries.remove(&key);
        }
    }

    /// Decides about an arriving request.
    ///
    /// After [`Decision::Run`](decision::Decision::Run) the host must report the
    /// end with [`Ledger::complete`], [`Ledger::fail`] or
    /// [`Ledger::revoke`].
    pub fn admit(
        &mut self,
        now: time::Duration,
        request: &request::Request<'_>,
    ) -> decision::Decision<A> {
        self.tick(now);
        if let Some(entry) = self.entries.get(request.key) {
            return decide_repeat(entry, request.fingerprint);
        }
        if let Err(kind) = request.permit {
            self.record_refusal(now, request, kind);
            return decision::Decision::Refuse(kind);
        }
        if self.running_time(now) < self.refuse_until || self.entries.len() >= self.entries_max {
            return decision::Decision::Refuse(answer::Kind::KeptFull);
        }
        self.insert(request, State::Admitted);
        decision::Decision::Run
    }

    /// Records that a byte may reach the endpoint from now on and returns whether
    /// the dispatch may go ahead.
    ///
    /// Only the first call after an admission returns `true`.
    pub fn start_dispatch(&mut self, key: &str) -> bool {
        match self.entries.get_mut(key) {
            Some(entry) if matches!(entry.state, State::Admitted) => {
                entry.state = State::Dispatched;
                true
            }
            _ => false,
        }
    }

    /// Records the answer of a run, for repeats.
    ///
    /// It has no effect on a key that is not in progress.
    pub fn complete(&mut self, now: time::Duration, key: &str, answer: A) {
        if self.is_in_progress(key) {
            self.finalize(now, key, State::Completed(answer));
        }
    }

    /// Records that a run failed and returns the error kind for all its callers.
    ///
    /// `reached` is whether a byte may have reached the endpoint. If none did and
    /// `kind` has the run state `not_run`, the entry is removed, so that a repeat
    /// may run, and `kind` is returned. Otherwise the key stays closed until its
    /// entry expires and the result is `OutcomeUnknown`.
    pub fn fail(
        &mut self,
        now: time::Duration,
        key: &str,
        reached: bool,
        kind: answer::Kind,
    ) -> answer::Kind {
        if !self.is_in_progress(key) {
            return answer::Kind::OutcomeUnknown;
        }
        if reached || kind.entry().run_state != answer::RunState::NotRun {
            self.finalize(now, key, State::Closed);
            return answer::Kind::OutcomeUnknown;
        }
        self.entries.remove(key);
        kind
    }

    /// Records that the permit was no longer granted directly before the dispatch.
    ///
    /// The key stays closed until its entry expires; its callers are answered
    /// `OutcomeUnknown`.
    pub fn revoke(&mut self, now: time::Duration, key: &str) {
        if self.is_in_progress(key) {
            self.finalize(now, key, State::Closed);
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Closes a key whose outcome in an earlier lifetime is not known.
    ///
    /// It must not run later, when the permit would be granted. If the ledger is
    /// full, no new key runs until the caller can no longer send this one again.
    fn record_refusal(
        &mut self,
        now: time::Duration,
        request: &request::Request<'_>,
        kind: answer::Kind,
    ) {
        if kind != answer::Kind::OutcomeUnknown {
            return;
        }
        if self.entries.len() >= self.entries_max {
            self.refuse_until = self.running_time(now).saturating_add(self.retention);
            return;
        }
        self.insert(request, State::Admitted);
        self.finalize(now, request.key, State::Closed);
    }

    fn insert(&mut self, request: &request::Request<'_>, state: State<A>) {
        let entry = Entry {
            fingerprint: request.fingerprint,
            state,
        };
        self.entries.insert(request.key.to_owned(), entry);
    }

    fn is_in_progress(&self, key: &str) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| matches!(entry.state, State::Admitted | State::Dispatched))
    }

    /// Sets the final state of a key and schedules the expiry of its entry.
    fn finalize(&mut self, now: time::Duration, key: &str, state: State<A>) {
        self.tick(now);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
            let at = self.running_time(now).saturating_add(self.retention);
            self.expiry.push_back((at, key.to_owned()));
        }
    }

    /// Returns the time for which the process has run, without its pauses.
    fn running_time(&self, now: time::Duration) -> time::Duration {
        now.saturating_sub(self.pause_total)
    }
}

/// Decides about a request whose key has an entry.
fn decide_repeat<A: Clone>(
    entry: &Entry<A>,
    fingerprint: request::Fingerprint,
) -> decision::Decision<A> {
    match &entry.state {
        // An earlier lifetime may have run a different request under this key,
        // so the fingerprint is not compared.
        State::Closed => decision::Decision::Refuse(answer::Kind::OutcomeUnknown),
        _ if entry.fingerprint != fingerprint => {
            decision::Decision::Refuse(answer::Kind::KeyReused)
        }
        State::Admitted | State::Dispatched => decision::Decision::Wait,
        State::Completed(answer) => decision::Decision::Replay(answer.clone()),
    }
}
