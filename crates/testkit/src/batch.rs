//! A model engine that reads prompts in chunks between the tokens of its answers.

use std::collections;

/// Time by which each running request lengthens a step, in milliseconds.
const RUNNING_MS: f64 = 0.02;

/// Properties of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Requests that run at once.
    pub slots: usize,
    /// KV cache capacity in tokens.
    pub kv_tokens: u32,
    /// Shortest time of a step in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// Prompt tokens read in one step at most.
    pub chunk: u32,
    /// Tokens of an event.
    pub stride: u32,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) id: usize,
    /// Smaller values are admitted and read first.
    pub(crate) priority: u8,
    /// Parts of the prompt; the last one is its own.
    pub(crate) parts: Vec<steer::Part>,
    /// Events of the answer.
    pub(crate) events: u32,
    /// Prompt tokens to be read; `None` before it is read.
    pub(crate) unread: Option<u32>,
    /// Tokens of the answer so far.
    pub(crate) made: u32,
}

impl Flight {
    fn own_tokens(&self, stride: u32) -> u32 {
        let own = self.parts.last().map_or(0, |part| part.tokens);
        own + self.events * stride
    }
}

/// An event of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Event {
    pub(crate) id: usize,
    pub(crate) at: f64,
    pub(crate) is_last: bool,
}

/// An engine with its queue and its prefix cache.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) spec: Spec,
    /// Speed relative to the properties.
    pub(crate) speed: f64,
    /// Until when the engine is lost, in milliseconds.
    pub(crate) lost_until: u64,
    pub(crate) queue: Vec<Flight>,
    pub(crate) running: Vec<Flight>,
    /// Prompt tokens read, and those of them in shared parts.
    pub(crate) read: (u64, u64),
    pub(crate) busy_ms: f64,
    /// When each cached part was last used, with its tokens.
    cache: collections::HashMap<u64, (f64, u32)>,
    cached_tokens: u32,
    step_end: Option<f64>,
}

impl Engine {
    pub(crate) fn new(spec: Spec, speed: f64) -> Self {
        Self {
            spec,
            speed,
            lost_until: 0,
            queue: Vec::new(),
            running: Vec::new(),
            read: (0, 0),
            busy_ms: 0.0,
            cache: collections::HashMap::new(),
            cached_tokens: 0,
            step_end: None,
        }
    }

    /// Adds a request to the queue.
    pub(crate) fn push(&mut self, flight: Flight) {
        let place = self
            .queue
            .partition_point(|known| known.priority <= flight.priority);
        self.queue.insert(place, flight);
    }

    /// Drops a request.
    pub(crate) fn cancel(&mut self, id: usize) {
        self.queue.retain(|flight| flight.id != id);
        self.running.retain(|flight| flight.id != id);
    }

    /// Loses all requests and the cache.
    pub(crate) fn lose(&mut self, until: u64) -> Vec<usize> {
        self.lost_until = until;
        self.cache.clear();
        self.cached_tokens = 0;
        self.step_end = None;
        let lost = self.queue.drain(..).chain(self.running.drain(..));
        lost.map(|flight| flight.id).collect()
    }

    /// Runs all steps that end by `now` and appends their events.
    pub(crate) fn advance(&mut self, now: f64, events: &mut Vec<Event>) {
        loop {
            let begin = match self.step_end {
                Some(end) if end > now => return,
                Some(end) => {
                    self.finish_step(end, events);
                    end
                }
                None => now,
            };
            self.admit();
            if self.running.is_empty() {
                self.step_end = None;
                return;
            }
            let read = self.read_chunk(begin);
            let decoding = self.spec.step_ms + self.running.len() as f64 * RUNNING_MS;
            let took = (decoding + f64::from(read) / self.spec.tokens_per_ms) / self.speed;
            self.busy_ms += took;
            self.step_end = Some(begin + took);
        }
    }

    fn held(&self) -> u32 {
        let running = self.running.iter();
        running
            .map(|flight| flight.own_tokens(self.spec.stride))
            .sum()
    }

    fn admit(&mut self) {
        while self.running.len() < self.spec.slots
            && let Some(next) = self.queue.first()
        {
            let held = self.held() + next.own_tokens(self.spec.stride);
            if held > self.spec.kv_tokens && !self.running.is_empty() {
                return;
            }
            let next = self.queue.remove(0);
            let place = self
                .running
                .partition_point(|known| known.priority <= next.priority);
            self.running.insert(place, next);
        }
    }

    /// Reads up to a chunk of the prompts and returns its tokens.
    fn read_chunk(&mut self, now: f64) -> u32 {
        let mut left = self.spec.chunk;
        for index in 0..self.running.len() {
            if left == 0 {
                break;
            }
            let unread = match self.running[index].unread {
                Some(unread) => unread,
                None => self.missing(index, now),
            };
            let read = unread.min(left);
            left -= read;
            self.running[index].unread = Some(unread - read);
        }
        let read = self.spec.chunk - left;
        self.read.0 += u64::from(read);
        read
    }

    /// Returns the prompt tokens that are not cached.
    fn missing(&mut self, index: usize, now: f64) -> u32 {
        let parts = self.running[index].parts.clone();
        let shared = &parts[..parts.len() - 1];
        let cached = shared
            .iter()
            .take_while(|part| self.cache.contains_key(&part.id))
            .count();
        for part in &shared[..cached] {
            self.cache.insert(part.id, (now, part.tokens));
        }
        let missing = shared[cached..].iter().map(|part| part.tokens);
        self.read.1 += u64::from(missing.sum::<u32>());
        parts[cached..].iter().map(|part| part.tokens).sum()
    }

    fn finish_step(&mut self, at: f64, events: &mut Vec<Event>) {
        for index in 0..self.running.len() {
            let flight = &mut self.running[index];
            if flight.unread != Some(0) {
                continue;
            }
            flight.made += 1;
            if flight.made == 1 {
                let parts = flight.parts.clone();
                self.store(&parts[..parts.len() - 1], at);
            }
            let flight = &self.running[index];
            let after = flight.made - 1;
            if after.is_multiple_of(self.spec.stride) {
                events.push(Event {
                    id: flight.id,
                    at,
                    is_last: after / self.spec.stride + 1 >= flight.events,
                });
            }
        }
        let stride = self.spec.stride;
        self.running
            .retain(|flight| flight.made <= (flight.events - 1) * stride);
    }

    /// Caches parts and evicts the least recently used ones.
    fn store(&mut self, parts: &[steer::Part], now: f64) {
        for part in parts {
            if self.cache.insert(part.id, (now, part.tokens)).is_none() {
                self.cached_tokens += part.tokens;
            }
        }
        while self.cached_tokens + self.held() > self.spec.kv_tokens {
            let used = |entry: &(&u64, &(f64, u32))| entry.1.0;
            let by_use = |a: &(_, _), b: &(_, _)| used(a).total_cmp(&used(b));
            let Some((&oldest, &(_, tokens))) = self.cache.iter().min_by(by_use) else {
                return;
            };
            self.cache.remove(&oldest);
            self.cached_tokens -= tokens;
        }
    }
}
