use core::time::Duration;
use std::collections;

use pool::{Load, RequestId};

/// Simulated inference engine with a running batch and a queue of its own.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Limit of concurrent requests according to the settings.
    pub slots: u32,
    /// Slots of the running batch.
    pub batch: u32,
    /// Factor by which all service times are multiplied.
    pub slowdown: f64,
    pub is_down: bool,
    /// Granted requests that have not ended.
    pub in_flight: u32,
    running: u32,
    waiting: collections::VecDeque<(RequestId, u32)>,
}

/// Time to the first token on an idle engine, in seconds.
const FIRST_TOKEN_S: f64 = 0.1;

/// Time between tokens on an idle engine, in seconds. A full batch doubles it.
const TOKEN_GAP_S: f64 = 0.01;

impl Engine {
    pub fn new(slots: u32, batch: u32) -> Self {
        Self {
            slots,
            batch,
            slowdown: 1.0,
            is_down: false,
            in_flight: 0,
            running: 0,
            waiting: collections::VecDeque::new(),
        }
    }

    /// Accepts a request; returns the times of its first token and its end, or `None`
    /// if it has to wait for a slot of the batch.
    pub fn start(
        &mut self,
        now: Duration,
        id: RequestId,
        output: u32,
        noise: f64,
    ) -> Option<(Duration, Duration)> {
        if self.running < self.batch {
            self.running += 1;
            return Some(self.begin(now, output, noise));
        }
        self.waiting.push_back((id, output));
        None
    }

    /// Returns the times of the first token and the end of a request that enters the
    /// batch now.
    pub fn begin(&self, now: Duration, output: u32, noise: f64) -> (Duration, Duration) {
        let load = 1.0 + f64::from(self.running) / f64::from(self.batch);
        let factor = self.slowdown * noise * load;
        let first = now + Duration::from_secs_f64(FIRST_TOKEN_S * factor);
        let end = first + Duration::from_secs_f64(TOKEN_GAP_S * factor * f64::from(output));
        (first, end)
    }

    /// Ends a request; returns the identifier and output length of the request from
    /// the engine's queue that takes its slot.
    pub fn finish(&mut self, id: RequestId) -> Option<(RequestId, u32)> {
        let waiting = self.waiting.len();
        self.waiting.retain(|&(waiting, _)| waiting != id);
        if self.waiting.len() < waiting {
            return None;
        }
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Takes the engine down and drops all its requests.
    pub fn crash(&mut self) {
        self.is_down = true;
        self.running = 0;
        self.waiting.clear();
    }

    pub fn load(&self, now: Duration) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: 0,
            is_draining: false,
            at: now,
        }
    }
}
