use std::fmt;

use crate::advice::Advice;
use crate::entry::Entry;
use crate::run_state::RunState;

/// Reason for which the router refuses a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request could not be parsed.
    BadRequest,
    /// The bearer key is malformed or not configured, or it is missing where one is
    /// required.
    UnknownKey,
    /// The request path does not exist.
    NotFound,
    /// The path exists but does not support the method.
    BadMethod,
    /// The model or service is not configured.
    UnknownModel,
    /// The request body exceeds its limit.
    BodyTooLarge,
    /// The request URI or the header fields exceed their limits.
    HeaderTooLarge,
    /// The caller sent its request too slowly.
    CallerTimeout,
    /// The queue is full or the deadline cannot be met.
    Overload,
    /// The request was shed from the queue in favour of one with a higher tier or
    /// an earlier deadline.
    Shed,
    /// The deadline passed while the request was queued.
    Expired,
    /// No endpoint of the pool is up.
    NoEndpoint,
    /// The same request crashed endpoints before and is refused for a limited time.
    Poison,
    /// The retry budget is exhausted and the last attempt produced no output.
    RetryBudget,
    /// The endpoint failed before it accepted the request.
    EndpointConnect,
    /// The endpoint failed after it may have received the request.
    EndpointFailed,
    /// The response of the endpoint is not valid.
    EndpointInvalid,
    /// The deadline passed while the request ran at the endpoint.
    EndpointTimeout,
    /// It is not known whether a non-idempotent request ran.
    OutcomeUnknown,
    /// The host that owns the idempotency key is unreachable; an earlier attempt
    /// may have run.
    OwnerUnreachable,
    /// The idempotency key was already used with a different request.
    KeyReused,
    /// The idempotency key is malformed, forged or expired.
    BadKey,
    /// The memory that callers fill is used up, or the caller fell behind and others
    /// needed its memory.
    MemoryFull,
    /// The memory for stored results of idempotency keys is full.
    KeptFull,
    /// The shard moved to another home host, which can serve the request.
    Moved,
    /// The host is shutting down.
    Leaving,
    /// The host has not loaded a configuration yet.
    NotReady,
    /// The request crashed endpoints; further attempts are held back for a
    /// limited time.
    Quarantined,
    /// The router failed before the request was dispatched.
    Internal,
}

impl Kind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 29] = [
        Self::BadRequest,
        Self::UnknownKey,
        Self::NotFound,
        Self::BadMethod,
        Self::UnknownModel,
        Self::BodyTooLarge,
        Self::HeaderTooLarge,
        Self::CallerTimeout,
        Self::Overload,
        Self::Shed,
        Self::Expired,
        Self::NoEndpoint,
        Self::Poison,
        Self::RetryBudget,
        Self::EndpointConnect,
        Self::EndpointFailed,
        Self::EndpointInvalid,
        Self::EndpointTimeout,
        Self::OutcomeUnknown,
        Self::OwnerUnreachable,
        Self::KeyReused,
        Self::BadKey,
        Self::MemoryFull,
        Self::KeptFull,
        Self::Moved,
        Self::Leaving,
        Self::NotReady,
        Self::Quarantined,
        Self::Internal,
    ];

    /// Returns the table row of this kind.
    pub const fn entry(self) -> Entry {
        use Advice::{After, Elsewhere, Never};
        use RunState::{NotRun, Unknown};
        use log::Level::{Debug, Error, Info, Warn};

        match self {
            Self::BadRequest => row("bad_request", 400, NotRun, Never, Debug),
            Self::UnknownKey => row("unknown_key", 401, NotRun, Never, Info),
            Self::NotFound => row("not_found", 404, NotRun, Never, Debug),
            Self::BadMethod => row("bad_method", 405, NotRun, Never, Debug),
            Self::UnknownModel => row("unknown_model", 404, NotRun, Never, Debug),
            Self::BodyTooLarge => row("body_too_large", 413, NotRun, Never, Debug),
            Self::HeaderTooLarge => row("header_too_large", 431, NotRun, Never, Debug),
            Self::CallerTimeout => row("caller_timeout", 408, NotRun, Elsewhere, Debug),
            Self::Overload => row("overload", 429, NotRun, After, Info),
            Self::Shed => row("shed", 429, NotRun, After, Info),
            Self::Expired => row("expired", 503, NotRun, After, Info),
            Self::NoEndpoint => row("no_endpoint", 503, NotRun, After, Warn),
            Self::Poison => row("poison", 422, NotRun, Never, Warn),
            Self::RetryBudget => row("retry_budget", 503, Unknown, After, Info),
            Self::EndpointConnect => row("endpoint_connect", 502, NotRun, After, Warn),
            Self::EndpointFailed => row("endpoint_failed", 502, Unknown, After, Warn),
            Self::EndpointInvalid => row("endpoint_invalid", 502, Unknown, Never, Warn),
            Self::EndpointTimeout => row("endpoint_timeout", 504, Unknown, Never, Info),
            Self::OutcomeUnknown => row("outcome_unknown", 409, Unknown, Never, Warn),
            Self::OwnerUnreachable => row("owner_unreachable", 503, Unknown, After, Warn),
            Self::KeyReused => row("key_reused", 422, NotRun, Never, Info),
            Self::BadKey => row("bad_key", 400, NotRun, Never, Info),
            Self::MemoryFull => row("memory_full", 503, NotRun, After, Info),
            Self::KeptFull => row("kept_full", 503, NotRun, After, Warn),
            Self::Moved => row("moved", 503, NotRun, Elsewhere, Debug),
            Self::Leaving => row("leaving", 503, NotRun, Elsewhere, Info),
            Self::NotReady => row("not_ready", 503, NotRun, After, Info),
            Self::Quarantined => row("quarantined", 503, NotRun, After, Warn),
            Self::Internal => row("internal", 500, NotRun, Elsewhere, Error),
        }
    }

    /// Returns the kind whose [`Entry::name`] is `name`, or `None` if there is
    /// none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.entry().name == name)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.entry().name)
    }
}

const fn row(
    name: &'static str,
    status: u16,
    run_state: RunState,
    advice: Advice,
    level: log::Level,
) -> Entry {
    Entry {
        name,
        status,
        run_state,
        advice,
        level,
    }
}
