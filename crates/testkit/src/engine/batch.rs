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

/// Delay beyond which the schedule of steps is reset instead of caught up.
const CATCH_UP_MAX: core::time::Duration = core::time::Duration::from_millis(20);

/// Continuous batch of an engine.
pub(crate) struct Batch {
    pub(crate) options: options::Options,
    pub(crate) counters: counters::Shared,
    /// Signals a crash that a request caused.
    pub(crate) crashed: tokio::sync::Notify,
    state: sync::Mutex<state::State>,
    /// Signals that a request was queued.
    work: tokio::sync::Notify,
    /// Ends the current step because all its requests were cancelled.
    emptied: tokio::sync::Notify,
    /// Bits of the `f64` that [`Batch::set_slowdown`] sets.
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
        batch.record_load(&mut lock(&batch.state));
        batch
    }

    pub(crate) fn set_slowdown(&self, factor: f64) {
        self.factor.store(factor.to_bits(), Relaxed);
    }

    pub(crate) fn drain(&self) {
        let mut state = lock(&self.state);
        state.draining = true;
        self.record_load(&mut state);
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

    /// Records a fencing number and returns whether it is not older than the newest seen.
    pub(crate) fn accept_fencing_number(&self, number: u64) -> bool {
        let mut state = lock(&self.state);
        let is_current = number >= state.newest_fencing_number;
        state.newest_fencing_number = state.newest_fencing_number.max(number);
        is_current
    }

    /// Queues a request and returns its serial number, or `None` if the engine is draining
    /// or full.
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
        self.record_load(&mut state);
        drop(state);
        self.work.notify_one();
        Some(serial)
    }

    /// Removes a cancelled request. Returns whether it had entered the running batch.
    pub(crate) fn cancel(&self, priority: i64, serial: u64) -> bool {
        let mut state = lock(&self.state);
        let has_run = state.cancel(priority, serial);
        if state.running.is_empty() {
            self.emptied.notify_one();
        }
        self.record_load(&mut state);
        has_run
    }

    /// Drops every request; the caller of this function closes their connections.
    pub(crate) fn crash(&self) {
        lock(&self.counters).crashes += 1;
        let mut state = lock(&self.state);
        state.crash(&self.counters);
        state.cache = crate::engine::cache::Cache::new(self.options.cache_blocks);
        self.record_load(&mut state);
    }

    /// Runs steps until the task is aborted.
    pub(crate) async fn run(&self) {
        let mut next = time::Instant::now();
        loop {
            let Some(duration) = self.begin_step() else {
                self.work.notified().await;
                next = time::Instant::now();
                continue;
            };
            next += duration;
            let now = time::Instant::now();
            if next + CATCH_UP_MAX < now {
                next = now;
            }
            if duration.is_zero() {
                // Skips the timer, whose resolution of 1 ms would delay the step.
                self.finish_step();
                continue;
            }
            tokio::select! {
                () = time::sleep_until(next) => self.finish_step(),
                () = self.emptied.notified() => next = time::Instant::now(),
            }
        }
    }

    /// Starts a step and returns its duration, or `None` if no request is waiting or running.
    fn begin_step(&self) -> Option<core::time::Duration> {
        let mut state = lock(&self.state);
        state.admit(self.options.slots, &self.counters);
        if state.running.is_empty() {
            return None;
        }
        self.record_load(&mut state);
        let (prefilled, decoding) = state.plan_step(self.options.prefill_chunk);
        drop(state);
        let duration = self.options.prefill * prefilled + self.decode_time(decoding);
        Some(duration.mul_f64(self.slowdown_factor()))
    }

    fn finish_step(&self) {
        let mut state = lock(&self.state);
        let crash = state.finish_step(&self.counters);
        self.record_load(&mut state);
        drop(state);
        if crash {
            self.crash();
            self.crashed.notify_one();
        }
    }

    fn decode_time(&self, sequences: usize) -> core::time::Duration {
        if sequences == 0 {
            return core::time::Duration::ZERO;
        }
        let other_sequences = (sequences - 1) as f64;
        let other_slots = self.options.slots.saturating_sub(1).max(1) as f64;
        let growth = self.options.batch_growth * other_sequences / other_slots;
        self.options.decode.mul_f64(1.0 + growth)
    }

    fn slowdown_factor(&self) -> f64 {
        let scripted = slowdown::Slowdown::factor(&self.options.slow, self.started.elapsed());
        scripted * f64::from_bits(self.factor.load(Relaxed))
    }

    fn record_load(&self, state: &mut state::State) {
        let now = time::Instant::now();
        let load = load::Load {
            running: state.running.len(),
            waiting: state.waiting.len(),
            slots: self.options.slots,
            draining: state.draining,
            at_ms: unix_ms(),
        };
        state.history.push(now, load);
        // Discards reports that are older than the lag requires.
        state.history.lagged(now, self.options.report_lag);
    }
}

/// Returns the time since the Unix epoch in ms, or 0 if the clock is set before it.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
