use core::time;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::account;
use crate::machine;
use crate::tally;

/// Memory of a process that callers can fill, shared by its listeners.
#[derive(Clone, Debug)]
pub struct Memory(sync::Arc<Inner>);

#[derive(Debug)]
struct Inner {
    start: Instant,
    state: sync::Mutex<State>,
    /// Whether the account is scarce, so that reads need no lock to know it.
    is_scarce: atomic::AtomicBool,
    tally: tally::Tally,
}

#[derive(Debug)]
struct State {
    account: account::Account,
    cuts: slotmap::SecondaryMap<account::Key, CancellationToken>,
}

impl Memory {
    /// Creates an account with these bounds.
    pub fn new(limits: account::Limits) -> Self {
        Self(sync::Arc::new(Inner {
            start: Instant::now(),
            state: sync::Mutex::new(State {
                account: account::Account::new(limits),
                cuts: slotmap::SecondaryMap::new(),
            }),
            is_scarce: atomic::AtomicBool::new(false),
            tally: tally::Tally::default(),
        }))
    }

    /// Returns the longest time in which a caller should send or read this many bytes.
    pub(crate) fn time_of(&self, bytes: usize) -> time::Duration {
        self.lock().account.time_of(bytes)
    }

    /// Replaces the bounds. Bytes that are reserved stay so.
    pub fn set_limits(&self, limits: account::Limits) {
        self.lock().account.set_limits(limits);
    }

    /// Adds a holder that waits for the caller at this address.
    pub fn open(&self, address: net::IpAddr) -> Holder {
        let cut = CancellationToken::new();
        let now = self.now();
        let mut state = self.lock();
        let key = state.account.open(now, address.to_canonical());
        state.cuts.insert(key, cut.clone());
        drop(state);
        Holder(sync::Arc::new(Open {
            memory: self.clone(),
            key,
            address,
            cut,
        }))
    }

    /// Returns the reserved bytes by kind.
    pub fn held(&self) -> account::Held {
        self.lock().account.held()
    }

    /// Returns whether so much is reserved that callers are limited by their address.
    pub fn is_scarce(&self) -> bool {
        self.0.is_scarce.load(atomic::Ordering::Relaxed)
    }

    fn note_scarcity(&self, account: &account::Account) {
        let is_scarce = account.is_scarce();
        if is_scarce != self.is_scarce() {
            self.0.is_scarce.store(is_scarce, atomic::Ordering::Relaxed);
        }
    }

    /// Returns how often callers were refused or cut off, by reason.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.0.tally.counts()
    }

    /// Counts an event, and logs the first one of each second.
    pub(crate) fn record(&self, reason: tally::Reason, address: net::IpAddr) {
        self.0.tally.record(reason, address);
    }

    /// Cuts off the connection that has waited for its caller for the longest time, among
    /// those of the listener whose holders `is_candidate` accepts and that have waited for
    /// at least `idle_min`.
    pub(crate) fn cut_idlest(
        &self,
        idle_min: time::Duration,
        is_candidate: impl Fn(account::Key) -> bool,
    ) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let key = state.account.cut_idlest(now, idle_min, is_candidate);
        let cut = key.and_then(|key| state.cuts.get(key).cloned());
        drop(state);
        cut.inspect(CancellationToken::cancel).is_some()
    }

    /// Returns whether one of these connections may end soon.
    pub(crate) fn is_any_waiting(&self, is_candidate: impl Fn(account::Key) -> bool) -> bool {
        self.lock().account.is_any_waiting(is_candidate)
    }

    fn now(&self) -> time::Duration {
        self.0.start.elapsed()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.0
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Default for Memory {
    /// Returns an account that is sized from the memory of the machine.
    fn default() -> Self {
        Self::new(account::Limits::of_memory(machine::memory_bytes()))
    }
}

/// Holder of reserved memory: a connection or a request body. It ends with its last
/// reservation.
#[derive(Clone, Debug)]
pub struct Holder(sync::Arc<Open>);

#[derive(Debug)]
struct Open {
    memory: Memory,
    key: account::Key,
    address: net::IpAddr,
    cut: CancellationToken,
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.account.close(self.key);
        state.cuts.remove(self.key);
    }
}

impl Holder {
    /// Counts and logs a refusal of this holder.
    pub(crate) fn record_refusal(&self, reason: tally::Reason) {
        self.0.memory.record(reason, self.0.address);
    }

    /// Returns whether so much is reserved that callers are limited by their address.
    pub(crate) fn is_memory_scarce(&self) -> bool {
        self.0.memory.is_scarce()
    }

    /// Returns the longest time in which a caller should send or read this many bytes.
    pub(crate) fn time_of(&self, bytes: usize) -> time::Duration {
        self.0.memory.time_of(bytes)
    }

    /// Returns the key in the account.
    pub(crate) fn key(&self) -> account::Key {
        self.0.key
    }

    /// Waits until the holder is cut off and has to end.
    pub async fn wait_for_cut(&self) {
        self.0.cut.cancelled().await;
    }

    /// Records that the holder waits for its caller from now on, or for the host.
    pub fn set_waiting(&self, is_waiting: bool) {
        let now = self.0.memory.now();
        let mut state = self.0.memory.lock();
        state.account.set_waiting(now, self.0.key, is_waiting);
    }

    /// Records bytes that the caller has sent or read; returns for how long it has been
    /// behind the least rate.
    pub fn record(&self, bytes: usize) -> time::Duration {
        let now = self.0.memory.now();
        let mut state = self.0.memory.lock();
        state.account.record(now, self.0.key, bytes);
        state.account.behind(now, self.0.key)
    }

    /// Returns an empty reservation.
    pub fn reserve(&self, kind: account::Kind) -> Reservation {
        Reservation {
            holder: self.clone(),
            kind,
            bytes: 0,
        }
    }

    fn grow(&self, kind: account::Kind, bytes: usize) -> Result<(), account::Full> {
        let memory = &self.0.memory;
        let now = memory.now();
        let mut state = memory.lock();
        let verdict = state.account.reserve(now, self.0.key, kind, bytes);
        memory.note_scarcity(&state.account);
        if verdict.cut.is_empty() {
            return verdict.result;
        }
        let cuts: Vec<CancellationToken> = verdict
            .cut
            .iter()
            .filter_map(|&key| state.cuts.get(key).cloned())
            .collect();
        // Tasks that wake up must not find the account locked.
        drop(state);
        for cut in cuts {
            cut.cancel();
        }
        verdict.result
    }
}

/// Reserved bytes of one kind, released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    holder: Holder,
    kind: account::Kind,
    bytes: usize,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of reserved bytes.
    ///
    /// # Errors
    ///
    /// Fails and changes nothing if the account is full, or if the holder was cut off
    /// and would grow.
    pub fn resize(&mut self, bytes: usize) -> Result<(), account::Full> {
        if bytes > self.bytes {
            self.holder.grow(self.kind, bytes - self.bytes)?;
        } else if bytes < self.bytes {
            let open = &self.holder.0;
            let freed = self.bytes - bytes;
            let mut state = open.memory.lock();
            state.account.release(open.key, self.kind, freed);
            open.memory.note_scarcity(&state.account);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // A reservation that shrinks is always accepted.
        let _ = self.resize(0);
    }
}
