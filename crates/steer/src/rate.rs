//! Learned rates of endpoints.
//!
//! Each host observes its own answers: the time to the first event of long prompts, the
//! time between events of a stream, and the time of requests without a prompt. An
//! observation is kept as the logarithm of a speed in proportion to a constant that is the
//! same at all hosts. `Book` divides it into the usual speed of the service and a factor
//! of the endpoint. Hosts exchange the factors, because each sees only a few answers of
//! each endpoint.

use core::time;

use crate::balancer;
use crate::choose;
use crate::endpoint;
use crate::key;
use crate::pick;
use crate::run;
use crate::work;

mod book;
mod entry;
mod gaps;
mod service;
mod shrink;
mod summary;
mod window;

pub(crate) use book::Book;
pub(crate) use gaps::Gaps;
pub(crate) use service::Learned;
pub use summary::Summary;

/// Assumed prefill speed of an engine in tokens per millisecond, until answers
/// have been observed.
const PREFILL_TOKENS_PER_MS: f64 = 45.0;

/// Assumed time in milliseconds of a decoding step, until events have been observed.
const STEP_MS: f64 = 5.5;

/// Assumed time in milliseconds of a request without a prompt, until answers
/// have been observed.
const PLAIN_DEFAULT_MS: f64 = 60.0;

/// Fewest prompt tokens of a request from which the prefill speed of an endpoint is
/// learned. With fewer, the time on the way and in the queue is a large part.
const PREFILL_TOKENS_MIN: u32 = 1_000;

/// Largest part of the prompt tokens of a request that other requests may have ahead of
/// it. With more, the time to the first event shows the queue rather than the speed.
const AHEAD_SHARE_MAX: f64 = 0.25;

/// Largest share of the slots in use at which the time to the first event is observed.
/// With more, the request may have waited for a slot.
const SLOTS_SHARE_MAX: f64 = 0.75;

/// Least part of the time to the first event that the prefill takes in an observation.
const PREFILL_SHARE_MIN: f64 = 0.3;

/// Bounds of the speed in one observation as a multiple of the constants. An answer
/// outside of them shows a fault of the estimate, such as a prompt that was cached.
const SPEED_RANGE: (f64, f64) = (0.1, 5.0);

/// Bounds of a speed or a time that is taken from a file. Observations are far within.
const SPEED_FILE_RANGE: (f64, f64) = (1e-3, 1e6);

/// Largest logarithm of a speed or a factor that is taken from a file.
const LOG_MAX: f32 = 10.0;

/// Processing speed of the endpoints of a service, or of one of them.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Speed {
    /// Prefill speed.
    pub(crate) tokens_per_ms: f64,
    /// Time to the answer of a request without a prompt.
    pub(crate) plain_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            tokens_per_ms: PREFILL_TOKENS_PER_MS,
            plain_ms: PLAIN_DEFAULT_MS,
        }
    }
}

/// Rates of an endpoint at its usual speed. What an endpoint reports of its slowness of
/// the moment is not part of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prompt tokens that the engine prefills in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time of a decoding step, in milliseconds.
    pub step_ms: f64,
    /// Time of a request without a prompt at an idle endpoint, in milliseconds.
    pub plain_ms: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            step_ms: STEP_MS,
            plain_ms: PLAIN_DEFAULT_MS,
        }
    }
}

impl Speed {
    /// Returns whether work can be estimated with the speed.
    pub(crate) fn is_plausible(&self) -> bool {
        let range = SPEED_FILE_RANGE.0..=SPEED_FILE_RANGE.1;
        range.contains(&self.tokens_per_ms) && range.contains(&self.plain_ms)
    }
}

/// What an observation shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Prefill,
    /// A decoding step at an engine with this third of its slots in use, from 0. Steps
    /// take longer the more requests run beside.
    Step(u8),
    Plain,
}

impl Kind {
    /// Number of kinds.
    pub(crate) const COUNT: usize = 5;

    /// Returns the kind of a step at an engine with this share of its slots in use.
    fn step(share: f64) -> Self {
        // CAST: The share is bounded.
        Self::Step((share.clamp(0.0, 0.99) * 3.0) as u8)
    }

    /// Returns the place of the kind in lists of all kinds.
    pub(crate) fn index(self) -> usize {
        match self {
            Self::Prefill => 0,
            Self::Step(third) => 1 + usize::from(third.min(2)),
            Self::Plain => 4,
        }
    }
}

/// Returns the logarithm of a speed in proportion to its constant, or `None` if it is out
/// of bounds.
fn logarithm(speed: f64) -> Option<f32> {
    let is_plausible = speed > SPEED_RANGE.0 && speed < SPEED_RANGE.1;
    // CAST: The precision of observations is far below that of the type.
    is_plausible.then(|| speed.ln() as f32)
}

/// Returns whether the logarithm of a speed or a factor may follow from observations. A
/// factor of an endpoint is in proportion to a usual speed, both within [`SPEED_RANGE`].
pub(crate) fn is_plausible_log(log: f32) -> bool {
    log.abs() <= LOG_MAX
}

impl balancer::Balancer {
    /// Returns the learned rates of an endpoint, or the defaults of its service if the
    /// service learns none.
    pub fn rates(&self, now: time::Duration, key: key::Key) -> Rates {
        let Some(endpoint) = self.endpoints.get(key) else {
            return Rates::default();
        };
        let service = endpoint.listed.service.as_str();
        let speed = self.endpoint_speed(now, key, self.service_speed(service));
        let step_ms = self.rates.step_ms(service).unwrap_or(STEP_MS);
        Rates {
            prefill_tokens_per_ms: speed.tokens_per_ms,
            step_ms: step_ms / self.rates.factor(now, key),
            plain_ms: speed.plain_ms,
        }
    }

    /// Returns the learned rates of the endpoint with this id, or `None` if it is not
    /// listed.
    pub fn rates_of(&self, now: time::Duration, id: &str) -> Option<Rates> {
        let key = self.tags.get(&endpoint::tag(id))?;
        Some(self.rates(now, *key))
    }

    /// Returns the usual speed of the endpoints of a service.
    pub(crate) fn service_speed(&self, service: &str) -> Speed {
        let learned = self.rates.speed(service);
        learned.unwrap_or_else(|| self.speeds.get(service).copied().unwrap_or_default())
    }

    /// Returns the speed of an endpoint of a service with this usual speed.
    pub(crate) fn endpoint_speed(&self, now: time::Duration, key: key::Key, usual: Speed) -> Speed {
        let factor = self.rates.factor(now, key);
        Speed {
            tokens_per_ms: usual.tokens_per_ms * factor,
            plain_ms: usual.plain_ms / factor,
        }
    }

    /// Returns the engine time of one output token in milliseconds at engines of the
    /// service: a step, divided among the requests of a full batch. `None` if the service
    /// learns no rates.
    pub(crate) fn output_token_ms(&self, service: &str) -> Option<f64> {
        self.rates.output_token_ms(service)
    }

    /// Returns what the observations of a run at the picked endpoint depend on, or `None`
    /// if its service learns no rates.
    pub(crate) fn learning(
        &self,
        now: time::Duration,
        pick: &pick::Pick,
        work: &work::Work,
    ) -> Option<Learning> {
        let endpoint = self.endpoints.get(pick.key)?;
        let event_tokens = self.rates.event_tokens(&endpoint.listed.service)?;
        let total = endpoint.total(now, &self.options);
        Some(Learning {
            event_tokens,
            beside: total.running.max(endpoint.reported(now, &self.options)),
            // Engines that rank first are assumed to have a part of what is not known.
            is_prefill_known: work.prompt_tokens > 0 && (pick.is_cached || pick.rank != Some(0)),
            gaps: Gaps::default(),
        })
    }

    /// Learns from the first event of a run.
    pub(crate) fn learn_first_event(&mut self, now: time::Duration, run: &run::Run) {
        let endpoint = self.endpoints.get(run.key);
        let (Some(endpoint), Some(learning)) = (endpoint, &run.learning) else {
            return;
        };
        let took_ms = now.saturating_sub(run.sent).as_secs_f64() * 1_000.0;
        let took_ms = took_ms / endpoint.slowness(now, &self.options);
        let slots = f64::from(endpoint.listed.slots.max(1));
        let (kind, speed) = match learning.event_tokens {
            0 => {
                let plain_ms = took_ms / choose::queue_factor(learning.beside, slots);
                (Kind::Plain, Some(PLAIN_DEFAULT_MS / plain_ms))
            }
            _ => (Kind::Prefill, learning.prefill_speed(run, took_ms, slots)),
        };
        if let Some(log) = speed.and_then(logarithm) {
            self.rates.observe(now, run.key, kind, log);
        }
    }

    /// Records that `tokens` of a stream arrived after a gap since its last events. The
    /// first events of a run are recorded with [`Self::record_first_event`] instead.
    pub fn record_event(
        &mut self,
        now: time::Duration,
        run: &mut run::Run,
        gap: time::Duration,
        tokens: u32,
    ) {
        let Some(learning) = run.learning.as_mut().filter(|_| tokens > 0) else {
            return;
        };
        let step_ms = gap.as_secs_f64() * 1_000.0 / f64::from(tokens);
        // CAST: The precision of observations is far below that of the type.
        let Some(step_ms) = learning.gaps.push(step_ms as f32) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get(run.key) else {
            return;
        };
        let step_ms = f64::from(step_ms) / endpoint.slowness(now, &self.options);
        let running = endpoint.total(now, &self.options).running;
        let kind = Kind::step(running / f64::from(endpoint.listed.slots.max(1)));
        if let Some(log) = logarithm(STEP_MS / step_ms) {
            self.rates.observe(now, run.key, kind, log);
        }
    }

    /// Returns what this host has learned of at most `count` endpoints, for publication.
    /// Those that were published longest ago come first.
    pub fn rate_summaries(&mut self, now: time::Duration, count: usize) -> Vec<Summary> {
        self.rates.summaries(now, count)
    }

    /// Applies what another host has learned. Endpoints that are not listed here, or
    /// listed as another process, are ignored.
    pub fn apply_rates(&mut self, now: time::Duration, peer: u64, list: &[Summary]) {
        self.rates.apply(now, peer, list);
    }
}

/// What the observations of a run depend on.
#[derive(Debug)]
pub(crate) struct Learning {
    /// Tokens of an event of a stream; 0 for services without engines.
    pub(crate) event_tokens: u32,
    /// Requests that ran at the endpoint when this one was sent.
    beside: f64,
    /// Whether it is probably known which parts of the prompt are cached.
    is_prefill_known: bool,
    gaps: Gaps,
}

impl Learning {
    /// Returns the prefill speed that the first event of a run shows in proportion to the
    /// constant, or `None` if it shows too much else.
    fn prefill_speed(&self, run: &run::Run, took_ms: f64, slots: f64) -> Option<f64> {
        let own = f64::from(run.prefill_tokens);
        let ahead = f64::from(run.ahead_tokens);
        let is_clear = self.is_prefill_known
            && run.prefill_tokens >= PREFILL_TOKENS_MIN
            && ahead <= own * AHEAD_SHARE_MAX
            && self.beside <= slots * SLOTS_SHARE_MAX;
        let prefill_ms = took_ms - self.beside * choose::RUNNING_DELAY_MS;
        if !is_clear || prefill_ms < took_ms * PREFILL_SHARE_MIN {
            return None;
        }
        // Prompts that are ahead have been processed in part.
        Some((own + ahead * 0.5) / prefill_ms / PREFILL_TOKENS_PER_MS)
    }
}
