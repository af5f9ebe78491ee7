use std::sync;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

use tokio::time;

use crate::engine::counters;
use crate::engine::load;
use crate::engine::options;
use crate::engine::sequence::Sequence;
use crate::engine::slowdown;
use crate::engine::state;
use crate::sync::lock;

/// Delay beyond which a late step is not caught up with.
const CATCH_UP_MAX: core::time::Duration = core::time::Duration::from_millis(20);

/// The continuous batch of an engine.
pub(crate) struct Batch {
    pub(crate) options: options::Options,
    pub(crate) counters: counters::Shared,
    pub(crate) crashed: tokio::sync::Notify,
    state: sync::Mutex<state::State>,
    work: tokio::sync::Notify,
    /// Ends the current step, because every request in it has left.
    emptied: tokio::sync::Notify,
    factor: atomic::AtomicU64,
    started: time::Instant,
}

impl Batch {
    pub(crate) fn new(options: options::Options) -> Self {
        let batch = Self {
            counters: counters::Shared::default(),
            crashed: tokio::sync::Notify::new(),
            state: sync::Mutex::new(state::State::new(options.cache_blocks)),
            work: tokio::sync::Notify::new(),
            emptied: tokio::sync::Notify::new(),
            factor: atomic::AtomicU64::new(1f64.to_bits()),
            started: time::Instant::now(),
            options,
        };
        batch.note(&mut lock(&batch.state));
        batch
    }

    pub(crate) fn set_slowdown(&self, factor: f64) {
        self.factor.store(factor.to_bits(), Relaxed);
    }

    pub(crate) fn drain(&self) {
        let mut state = lock(&self.state);
        state.draining = true;
        self.note(&mut state);
    }

    pub(crate) fn load(&self) -> load::Load {
        let now = time::Instant::now();
        lock(&self.state)
            .history
            .lagged(now, self.options.report_lag)
    }

    pub(crate) fn runs(&self) -> Vec<String> {
        lock(&self.state).runs.clone()
    }

    pub(crate) fn waiting(&self) -> usize {
        lock(&self.state).waiting.len()
    }

    /// Returns whether the number is as new as the newest seen.
    pub(crate) fn fence(&self, number: u64) -> bool {
        let mut state = lock(&self.state);
        let fresh = number >= state.fence;
        state.fence = state.fence.max(number);
        fresh
    }

    /// Queues a request and returns its serial, or `None` if the engine is draining or full.
    pub(crate) fn queue(&self, mut sequence: Sequence) -> Option<u64> {
        let mut state = lock(&self.state);
        let full = state.running.len() >= self.options.slots
            && state.waiting.len() >= self.options.waiting_max;
        if state.draining || full {
            lock(&self.counters).refused += 1;
            return None;
        }
        state.serial += 1;
        let serial = state.serial;
        sequence.serial = serial;
        state.waiting.insert((sequence.priority, serial), sequence);
        self.note(&mut state);
        drop(state);
        self.work.notify_one();
        Some(serial)
    }

    /// Removes a request whose caller left. Returns whether it had run.
    pub(crate) fn leave(&self, priority: i64, serial: u64) -> bool {
        let mut state = lock(&self.state);
        let has_run = state.leave(priority, serial);
        if state.running.is_empty() {
            self.emptied.notify_one();
        }
        self.note(&mut state);
        has_run
    }

    /// Drops every request; their connections are cut by the caller.
    pub(crate) fn crash(&self) {
        lock(&self.counters).crashes += 1;
        let mut state = lock(&self.state);
        state.crash(&self.counters);
        state.cache = crate::engine::cache::Cache::new(self.options.cache_blocks);
        self.note(&mut state);
    }

    /// Runs steps for as long as the engine lives.
    pub(crate) async fn run(&self) {
        let mut next = time::Instant::now();
        loop {
            let Some(cost) = self.begin() else {
                self.work.notified().await;
                next = time::Instant::now();
                continue;
            };
            next += cost;
            let now = time::Instant::now();
            if next + CATCH_UP_MAX < now {
                next = now;
            }
            if cost.is_zero() {
                // A timer would wait for the next ms.
                self.finish();
                continue;
            }
            tokio::select! {
                () = time::sleep_until(next) => self.finish(),
                () = self.emptied.notified() => next = time::Instant::now(),
            }
        }
    }

    /// Starts a step and returns how long it takes, or `None` without work.
    fn begin(&self) -> Option<core::time::Duration> {
        let mut state = lock(&self.state);
        state.admit(self.options.slots, &self.counters);
        if state.running.is_empty() {
            return None;
        }
        self.note(&mut state);
        let (prefilled, decoding) = state.plan(self.options.prefill_chunk);
        drop(state);
        let cost = self.options.prefill * prefilled + self.decode(decoding);
        Some(cost.mul_f64(self.slowness()))
    }

    fn finish(&self) {
        let mut state = lock(&self.state);
        let crash = state.finish(&self.counters);
        self.note(&mut state);
        drop(state);
        if crash {
            self.crash();
            self.crashed.notify_one();
        }
    }

    fn decode(&self, sequences: usize) -> core::time::Duration {
        if sequences == 0 {
            return core::time::Duration::ZERO;
        }
        let others = (sequences - 1) as f64;
        let room = self.options.slots.saturating_sub(1).max(1) as f64;
        let growth = self.options.batch_growth * others / room;
        self.options.decode.mul_f64(1.0 + growth)
    }

    fn slowness(&self) -> f64 {
        let scripted = slowdown::Slowdown::factor(&self.options.slow, self.started.elapsed());
        scripted * f64::from_bits(self.factor.load(Relaxed))
    }

    fn note(&self, state: &mut state::State) {
        let now = time::Instant::now();
        let load = load::Load {
            running: state.running.len(),
            waiting: state.waiting.len(),
            slots: self.options.slots,
            draining: state.draining,
            at_ms: unix_ms(),
        };
        state.history.push(now, load);
        // Trims the past, which nobody may ask for.
        state.history.lagged(now, self.options.report_lag);
    }
}

/// Returns the time since the Unix epoch in ms.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
