use core::fmt;
use core::time;
use std::io;

use rand::SeedableRng;
use serde_json::{Value, json};

/// Version of the form of files. Fields may be added to a version.
const VERSION: u32 = 1;

/// Largest file in bytes, which also bounds the memory of an answer.
const BYTES_MAX: usize = 8 * 1024 * 1024;

/// Largest time in a file in seconds, about 300 years.
const SECONDS_MAX: u64 = 10_000_000_000;

/// Largest amount of a floating-point number in a file, so that sums and products stay
/// finite.
const NUMBER_MAX: f64 = 1e12;

/// A request with all that decides on it at a host, for a file.
///
/// It names prompt parts by their hashes, and holds neither keys nor headers nor bodies.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub struct Case {
    version: u32,
    request: Request,
    /// Host through which the request would go to a brittle endpoint.
    gateway: Option<String>,
    /// Seed of the random parts of the decision.
    seed: u64,
    state: steer::State,
}

/// A request to explain, as a host has admitted it.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Request {
    /// Name of the host.
    pub(crate) host: String,
    pub(crate) now: time::Duration,
    /// Time until the deadline.
    pub(crate) left: time::Duration,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) team: Option<String>,
    pub(crate) rank: u8,
    pub(crate) urgency: f64,
    pub(crate) target_first: time::Duration,
    pub(crate) plan: plan::Version,
    pub(crate) work: steer::Work,
    /// From where the prompt parts are known.
    pub(crate) prompt: Option<Source>,
    pub(crate) quarantine: Option<Quarantine>,
    /// Whether the host reaches no endpoint of the service.
    pub(crate) is_cut_off: bool,
}

/// From where prompt parts are known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Source {
    Headers,
    Body,
}

/// Why a request is refused wherever it would go.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) enum Quarantine {
    /// Engines crashed on this prompt part.
    Part(u64),
    /// Endpoints crashed on the request.
    Request,
}

/// Why a file is no case that can be explained.
#[derive(Debug)]
pub enum Damage {
    /// The file is larger than a case may be.
    Oversized(usize),
    /// The file is no JSON, is cut off, or lacks fields.
    Malformed(serde_json::Error),
    /// The file has a form of a later program.
    Version(u32),
    /// A number is out of range.
    Number(String),
    /// The state contradicts itself.
    State(steer::Damage),
}

impl fmt::Display for Damage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversized(bytes) => {
                write!(formatter, "{bytes} bytes exceed the limit of {BYTES_MAX}")
            }
            Self::Malformed(cause) => write!(formatter, "malformed: {cause}"),
            Self::Version(version) => {
                write!(formatter, "version {version} is not known, only {VERSION}")
            }
            Self::Number(number) => write!(formatter, "{number} is out of range"),
            Self::State(cause) => write!(formatter, "{cause}"),
        }
    }
}

impl std::error::Error for Damage {}

/// A buffer that refuses to grow beyond [`BYTES_MAX`].
#[derive(Debug, Default)]
struct Bounded(Vec<u8>);

impl io::Write for Bounded {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0.len() + bytes.len() > BYTES_MAX {
            return Err(io::Error::other("the case is too large for a file"));
        }
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Case {
    pub(crate) const fn new(
        request: Request,
        gateway: Option<String>,
        seed: u64,
        state: steer::State,
    ) -> Self {
        Self {
            version: VERSION,
            request,
            gateway,
            seed,
            state,
        }
    }

    /// Returns the content of a file, as JSON.
    ///
    /// # Errors
    ///
    /// Fails if it exceeds 8 MiB.
    pub fn write(&self) -> Result<Vec<u8>, serde_json::Error> {
        let mut bytes = Bounded::default();
        serde_json::to_writer(&mut bytes, self)?;
        Ok(bytes.0)
    }

    /// Reads the content of a file. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Fails on content that [`Self::write`] does not write.
    pub fn read(bytes: &[u8]) -> Result<Self, Damage> {
        if bytes.len() > BYTES_MAX {
            return Err(Damage::Oversized(bytes.len()));
        }
        let value: Value = serde_json::from_slice(bytes).map_err(Damage::Malformed)?;
        let version = value["version"].as_u64();
        if let Some(version) = version.filter(|version| *version != u64::from(VERSION)) {
            let version = u32::try_from(version).unwrap_or(u32::MAX);
            return Err(Damage::Version(version));
        }
        check_numbers(&value)?;
        // From the text, because numbers of some types lose digits as values.
        serde_json::from_slice(bytes).map_err(Damage::Malformed)
    }

    /// Returns the largest size of a file in bytes.
    pub const fn bytes_max() -> usize {
        BYTES_MAX
    }

    /// Explains the request as the host would have when the case was taken.
    ///
    /// # Errors
    ///
    /// Fails if the state contradicts itself.
    pub fn explain(self) -> Result<Value, Damage> {
        let balancer = self.state.restore().map_err(Damage::State)?;
        let rng = rand_pcg::Pcg64Mcg::seed_from_u64(self.seed);
        let explained = self.request.explain(&balancer, rng);
        Ok(self.request.answer(&explained, self.gateway.as_deref()))
    }
}

/// Checks that no time or floating-point number is so large that computations overflow.
fn check_numbers(value: &Value) -> Result<(), Damage> {
    match value {
        Value::Object(fields) => {
            let seconds = fields.get("secs");
            if let Some(seconds) = seconds.filter(|value| value.as_u64() > Some(SECONDS_MAX)) {
                return Err(Damage::Number(format!("a time of {seconds} s")));
            }
            fields.values().try_for_each(check_numbers)
        }
        Value::Array(values) => values.iter().try_for_each(check_numbers),
        Value::Number(number) if number.is_f64() => {
            match number
                .as_f64()
                .is_some_and(|number| number.abs() <= NUMBER_MAX)
            {
                true => Ok(()),
                false => Err(Damage::Number(number.to_string())),
            }
        }
        _ => Ok(()),
    }
}

impl Request {
    /// Explains the decision that the balancer would make.
    pub(crate) fn explain(
        &self,
        balancer: &steer::Balancer,
        rng: rand_pcg::Pcg64Mcg,
    ) -> steer::Explanation {
        let objective = steer::Objective {
            urgency: self.urgency,
            remaining: self.left,
            target_first: self.target_first,
        };
        let scope = steer::Scope {
            team: self.team.as_deref().map(steer::Scope::team),
            ..steer::Scope::default()
        };
        balancer.explain(self.now, &self.service, &self.work, objective, scope, rng)
    }

    /// Returns the answer to operators, as JSON. `gateway` is the host through which the
    /// request would go to a brittle endpoint.
    pub(crate) fn answer(&self, explained: &steer::Explanation, gateway: Option<&str>) -> Value {
        let endpoints: Vec<Value> = explained.endpoints.iter().map(endpoint).collect();
        let shared = self.work.shared().iter();
        json!({
            "host": self.host,
            "request": {
                "route": self.route,
                "service": self.service,
                "team": self.team,
                "rank": self.rank,
                "leftMs": millis(self.left),
                "targetMs": millis(self.target_first),
                "plan": self.plan.to_string(),
                "promptTokens": self.work.prompt_tokens,
                "sharedTokens": shared.map(|part| u64::from(part.tokens)).sum::<u64>(),
                "promptFrom": self.prompt,
                "isBulk": self.work.is_bulk(),
            },
            "decision": self.decision(&explained.decision, gateway),
            "isSampled": explained.is_sampled,
            "isTeamOver": explained.is_over,
            "endpoints": endpoints,
        })
    }

    fn decision(&self, decision: &steer::Decision, gateway: Option<&str>) -> Value {
        match (decision, self.quarantine) {
            (_, Some(Quarantine::Part(part))) => json!({
                "kind": "refused",
                "reason": "a part of the prompt crashed the endpoints that began to answer on it",
                "part": format!("{part:x}"),
                "retryAfterMs": null,
            }),
            (_, Some(Quarantine::Request)) => json!({
                "kind": "refused",
                "reason": "the request crashed the endpoints that ran it",
                "retryAfterMs": null,
            }),
            (steer::Decision::Selected(pick), None) => json!({
                "kind": "selected",
                "endpoint": pick.id,
                "dataCentre": pick.data_centre,
                "waitMs": pick.wait_ms,
                "via": self.way(gateway),
            }),
            (steer::Decision::Refused(refusal), None) => json!({
                "kind": "refused",
                "reason": "every endpoint is too busy",
                "retryAfterMs": millis(refusal.retry_after),
                "waitMs": refusal.wait_ms,
                "backlogMs": refusal.backlog_ms,
                "hasRoom": refusal.has_room,
                "compared": refusal.compared,
                "unreachable": refusal.down,
            }),
            (steer::Decision::NoEndpoint, None) => json!({
                "kind": "refused",
                "reason": "no endpoint accepts work",
                "retryAfterMs": null,
            }),
        }
    }

    /// Returns the host through which the request would go to the endpoint.
    fn way(&self, gateway: Option<&str>) -> Value {
        match (gateway, self.is_cut_off) {
            (Some(address), _) => {
                json!({ "host": address, "reason": "gateway of a brittle endpoint" })
            }
            (None, true) => {
                json!({ "host": null, "reason": "another host, chosen at random when the request is sent" })
            }
            (None, false) => json!({ "host": self.host, "reason": "direct" }),
        }
    }
}

fn endpoint(considered: &steer::Considered) -> Value {
    let rates = considered.rates;
    json!({
        "id": considered.id,
        "dataCentre": considered.data_centre,
        "states": states(considered),
        "coldLeftMs": considered.cold_left.map(millis),
        "cachedTokens": considered.cached_tokens,
        "cacheTokens": considered.cache_tokens,
        "slots": considered.slots,
        "running": considered.running,
        "queuedTokens": considered.queued_tokens,
        "kvTokens": considered.kv_tokens,
        "kvCapacity": considered.kv_capacity,
        "prefillTokensPerMs": rates.prefill_tokens_per_ms,
        "stepMs": rates.step_ms,
        "plainMs": rates.plain_ms,
        "reportAgeMs": considered.report.map(|(_, age)| millis(age)),
        "peerAgeMs": considered.peer_age.map(millis),
        "estimate": considered.weighed.as_ref().map(estimate),
    })
}

/// Returns the states of an endpoint; `open` only if there is no other.
fn states(considered: &steer::Considered) -> Vec<&'static str> {
    let gate = match considered.gate {
        steer::Gate::Open => None,
        steer::Gate::Pausing(_) => Some("paused"),
        steer::Gate::Down => Some("unreachable"),
        gate => Some(gate.name()),
    };
    let cold = considered.cold_left.map(|_| "cold");
    let brittle = considered.is_brittle.then_some("brittle");
    let states: Vec<&str> = gate.into_iter().chain(cold).chain(brittle).collect();
    match states.is_empty() {
        true => vec!["open"],
        false => states,
    }
}

fn estimate(weighed: &steer::Weighed) -> Value {
    let (costs, terms) = (weighed.costs, weighed.costs.terms);
    json!({
        "prefillMs": terms.prefill,
        "aheadMs": terms.ahead,
        "slotMs": terms.slot,
        "decodeMs": terms.decode,
        "distanceMs": terms.distance,
        "evictionMs": terms.eviction,
        "againMs": terms.again,
        "cacheMissMs": costs.cache_miss,
        "mixMs": costs.mix,
        "contentionMs": costs.contention,
        "unrankedMs": costs.unranked,
        "noRoomMs": costs.no_room,
        "faultMs": costs.fault,
        "jitterMs": costs.jitter,
        "waitMs": terms.wait(),
        "costMs": costs.sum(),
        // An endpoint that must not be used has an infinite excess, which JSON lacks.
        "excessMs": weighed.excess_ms.is_finite().then_some(weighed.excess_ms),
        "isAdmitted": weighed.is_admitted,
        "hasRoom": weighed.has_room,
        "isReserved": weighed.is_reserved,
        "rank": weighed.rank,
        "prefillTokens": weighed.prefill_tokens,
    })
}

fn millis(time: time::Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
