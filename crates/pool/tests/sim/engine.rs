use core::time::Duration;
use std::collections;

use pool::{Load, RequestId};

/// Model engine with a batch and a queue of its own behind it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Places that the settings claim.
    pub slots: u32,
    /// Places of the batch.
    pub batch: u32,
    /// Factor of every time.
    pub slow: f64,
    pub dead: bool,
    /// Granted requests that have not ended.
    pub held: u32,
    running: u32,
    waiting: collections::VecDeque<(RequestId, u32)>,
}

/// Time to first token on an idle engine.
const FIRST: f64 = 0.1;

/// Time between tokens on an idle engine; a full batch doubles it.
const GAP: f64 = 0.01;

impl Engine {
    pub fn new(slots: u32, batch: u32) -> Self {
        Self {
            slots,
            batch,
            slow: 1.0,
            dead: false,
            held: 0,
            running: 0,
            waiting: collections::VecDeque::new(),
        }
    }

    /// Takes a request; returns first token and end if it starts at once.
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

    /// Returns first token and end of a request that starts now.
    pub fn begin(&self, now: Duration, output: u32, noise: f64) -> (Duration, Duration) {
        let load = 1.0 + f64::from(self.running) / f64::from(self.batch);
        let factor = self.slow * noise * load;
        let first = now + Duration::from_secs_f64(FIRST * factor);
        let end = first + Duration::from_secs_f64(GAP * factor * f64::from(output));
        (first, end)
    }

    /// Ends a request; returns the next one of the engine's own queue.
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

    /// Loses everything.
    pub fn crash(&mut self) {
        self.dead = true;
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
