use core::time;
use std::collections;

use crate::decision;
use crate::pause;
use crate::request;

/// Where a key stands.
#[derive(Clone, Debug)]
enum State<A> {
    /// Admitted; no byte has been sent.
    Admitted,
    /// A byte may have reached the endpoint.
    Started,
    /// The run ended with this answer.
    Done(A),
    /// The key must not run; it was answered with the run state `unknown`.
    Closed,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    fingerprint: request::Fingerprint,
    state: State<A>,
}

/// The record of keys of one process lifetime.
///
/// `A` is the whole answer of a run. The host calls [`Ledger::tick`] several
/// times per second.
#[derive(Clone, Debug)]
pub struct Ledger<A> {
    keep: time::Duration,
    kept_max: usize,
    entries: collections::HashMap<String, Entry<A>>,
    /// Ended entries in the order of their expiry, in time awake.
    expiry: collections::VecDeque<(time::Duration, String)>,
    /// Until when new keys are refused, in time awake, because a refusal
    /// could not be recorded.
    closed_until: time::Duration,
    pause: pause::Pause,
    paused: time::Duration,
}

impl<A: Clone> Ledger<A> {
    /// Returns an empty ledger.
    ///
    /// `keep` is how long an ended entry is kept, `resend_max_age +
    /// clock_skew`; `kept_max` bounds the number of entries.
    pub fn new(keep: time::Duration, kept_max: usize) -> Self {
        Self {
            keep,
            kept_max,
            entries: collections::HashMap::new(),
            expiry: collections::VecDeque::new(),
            closed_until: time::Duration::ZERO,
            pause: pause::Pause::default(),
            paused: time::Duration::ZERO,
        }
    }

    /// Notices pauses and forgets entries whose time is over.
    ///
    /// Time that the process spent paused does not age an entry: a repeat
    /// may have waited in a socket for the whole pause.
    pub fn tick(&mut self, now: time::Duration) {
        if let Some(gap) = self.pause.observe(now) {
            self.paused += gap;
        }
        let awake = self.awake(now);
        while let Some((at, _)) = self.expiry.front()
            && *at <= awake
        {
            let (_, key) = self.expiry.pop_front().expect("the front was just seen");
            self.entries.remove(&key);
        }
    }

    /// Decides about an arriving request.
    ///
    /// After [`Decision::Run`](decision::Decision::Run) the host reports the
    /// end with [`Ledger::complete`], [`Ledger::fail`] or
    /// [`Ledger::revoke`].
    pub fn admit(
        &mut self,
        now: time::Duration,
        request: &request::Request<'_>,
    ) -> decision::Decision<A> {
        self.tick(now);
        if let Some(entry) = self.entries.get(request.key) {
            return repeat(entry, request.fingerprint);
        }
        if let Err(kind) = request.permit {
            self.close(now, request, kind);
            return decision::Decision::Refuse(kind);
        }
        if self.awake(now) < self.closed_until || self.entries.len() >= self.kept_max {
            return decision::Decision::Refuse(answer::Kind::KeptFull);
        }
        self.insert(request, State::Admitted);
        decision::Decision::Run
    }

    /// Records that a byte may reach the endpoint from now on.
    ///
    /// Returns whether the dispatch may go ahead; it may do so once per
    /// admission.
    pub fn start_dispatch(&mut self, key: &str) -> bool {
        match self.entries.get_mut(key) {
            Some(entry) if matches!(entry.state, State::Admitted) => {
                entry.state = State::Started;
                true
            }
            _ => false,
        }
    }

    /// Records the answer of a run.
    pub fn complete(&mut self, now: time::Duration, key: &str, answer: A) {
        if self.is_open(key) {
            self.end(now, key, State::Done(answer));
        }
    }

    /// Records that a run failed and returns the kind for all its callers.
    ///
    /// `reached` says whether a byte may have reached the endpoint. When none
    /// did, a repeat may run and `kind` is returned; otherwise the key stays
    /// closed.
    pub fn fail(
        &mut self,
        now: time::Duration,
        key: &str,
        reached: bool,
        kind: answer::Kind,
    ) -> answer::Kind {
        if !self.is_open(key) {
            return answer::Kind::OutcomeUnknown;
        }
        if reached || kind.entry().run != answer::Run::NotRun {
            self.end(now, key, State::Closed);
            return answer::Kind::OutcomeUnknown;
        }
        self.entries.remove(key);
        kind
    }

    /// Records that the permit was gone directly before the dispatch.
    ///
    /// The key stays closed in this lifetime; its callers are answered
    /// `OutcomeUnknown`.
    pub fn revoke(&mut self, now: time::Duration, key: &str) {
        if self.is_open(key) {
            self.end(now, key, State::Closed);
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
    /// It must not run later, when the permit would be given. Without room
    /// for the record, no new key runs until the caller has given up.
    fn close(&mut self, now: time::Duration, request: &request::Request<'_>, kind: answer::Kind) {
        if kind != answer::Kind::OutcomeUnknown {
            return;
        }
        if self.entries.len() >= self.kept_max {
            self.closed_until = self.awake(now).saturating_add(self.keep);
            return;
        }
        self.insert(request, State::Admitted);
        self.end(now, request.key, State::Closed);
    }

    fn insert(&mut self, request: &request::Request<'_>, state: State<A>) {
        let entry = Entry {
            fingerprint: request.fingerprint,
            state,
        };
        self.entries.insert(request.key.to_owned(), entry);
    }

    fn is_open(&self, key: &str) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| matches!(entry.state, State::Admitted | State::Started))
    }

    fn end(&mut self, now: time::Duration, key: &str, state: State<A>) {
        self.tick(now);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
            let at = self.awake(now).saturating_add(self.keep);
            self.expiry.push_back((at, key.to_owned()));
        }
    }

    fn awake(&self, now: time::Duration) -> time::Duration {
        now.saturating_sub(self.paused)
    }
}

fn repeat<A: Clone>(entry: &Entry<A>, fingerprint: request::Fingerprint) -> decision::Decision<A> {
    match &entry.state {
        // An earlier lifetime may have run the other request of this key.
        State::Closed => decision::Decision::Refuse(answer::Kind::OutcomeUnknown),
        _ if entry.fingerprint != fingerprint => {
            decision::Decision::Refuse(answer::Kind::KeyReused)
        }
        State::Admitted | State::Started => decision::Decision::Wait,
        State::Done(answer) => decision::Decision::Replay(answer.clone()),
    }
}
