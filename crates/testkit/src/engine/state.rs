use std::collections;
use std::sync::atomic::Ordering::Relaxed;

use crate::engine::cache;
use crate::engine::counters;
use crate::engine::load;
use crate::engine::sequence::{Event, Sequence};
use crate::sync::lock;

/// Waiting and running requests of an engine.
pub(crate) struct State {
    /// Requests in the queue by priority and serial number.
    pub(crate) waiting: collections::BTreeMap<(i64, u64), Sequence>,
    pub(crate) running: Vec<Sequence>,
    pub(crate) cache: cache::Cache,
    pub(crate) history: load::History,
    pub(crate) draining: bool,
    /// Newest fencing number seen.
    pub(crate) newest_fencing_number: u64,
    pub(crate) serial: u64,
    /// Tags in the order in which their requests entered the batch.
    pub(crate) runs: Vec<String>,
}

impl State {
    pub(crate) fn new(cache_blocks: usize) -> Self {
        Self {
            waiting: collections::BTreeMap::new(),
            running: Vec::new(),
            cache: cache::Cache::new(cache_blocks),
            history: load::History::default(),
            draining: false,
            newest_fencing_number: 0,
            serial: 0,
            runs: Vec::new(),
        }
    }

    /// Moves waiting requests into free slots, lowest priority number first.
    pub(crate) fn admit(&mut self, slots: usize, counters: &counters::Shared) {
        while self.running.len() < slots {
            let Some((_, mut sequence)) = self.waiting.pop_first() else {
                return;
            };
            let cached = self.cache.insert_prompt(&sequence.prompt);
            // The last prompt token is always computed, because it produces the first output
            // token.
            let cached = cached.min(sequence.prompt_left.saturating_sub(1));
            sequence.prompt_left -= cached;
            lock(counters).cached += u64::from(cached);
            lock(counters).executions += 1;
            self.runs.push(sequence.tag.clone());
            self.running.push(sequence);
        }
    }

    /// Assigns at most `budget` prompt tokens to the step. Returns how many were assigned and
    /// the number of sequences that decode.
    pub(crate) fn plan_step(&mut self, budget: u32) -> (u32, usize) {
        let mut left = budget;
        let mut decoding = 0;
        for sequence in &mut self.running {
            sequence.chunk = sequence.prompt_left.min(left);
            left -= sequence.chunk;
            decoding += usize::from(sequence.prompt_left == 0);
        }
        (budget - left, decoding)
    }

    /// Ends the step and generates a token for every sequence whose prompt is prefilled.
    /// Returns whether a request crashes the engine.
    pub(crate) fn finish_step(&mut self, counters: &counters::Shared) -> bool {
        let mut crash = false;
        self.running.retain_mut(|sequence| {
            sequence.prompt_left -= sequence.chunk;
            sequence.chunk = 0;
            if sequence.prompt_left > 0 {
                return true;
            }
            let tokens = sequence.progress.tokens.load(Relaxed);
            if sequence.crash_after.is_some_and(|after| tokens >= after) {
                crash = true;
                return true;
            }
            generate_token(sequence, counters) < sequence.length
        });
        crash
    }

    /// Removes a cancelled request. Returns whether it had entered the running batch.
    pub(crate) fn cancel(&mut self, priority: i64, serial: u64) -> bool {
        let was_waiting = self.waiting.remove(&(priority, serial)).is_some();
        self.running.retain(|sequence| sequence.serial != serial);
        !was_waiting
    }

    /// Drops all requests and counts their tokens as lost.
    pub(crate) fn crash(&mut self, counters: &counters::Shared) {
        let waiting = core::mem::take(&mut self.waiting);
        let running = core::mem::take(&mut self.running);
        for sequence in waiting.into_values().chain(running) {
            if !sequence.progress.settled.swap(true, Relaxed) {
                let tokens = sequence.progress.tokens.load(Relaxed);
                lock(counters).lost += u64::from(tokens);
            }
        }
    }
}

/// Generates one token of a sequence and returns how many it has.
fn generate_token(sequence: &Sequence, counters: &counters::Shared) -> u32 {
    let tokens = sequence.progress.tokens.fetch_add(1, Relaxed) + 1;
    lock(counters).tokens += 1;
    let event = if tokens < sequence.length {
        Event::Token
    } else {
        Event::End
    };
    // Sending fails if the caller has just cancelled; its ticket counts the wasted tokens.
    sequence.sender.send(event).ok();
    tokens
}
