use core::time;
use std::net;

use bytes::Bytes;

/// Pool that a request is for, and its path at the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// `POST /v1/chat/completions` or `POST /v1/completions`.
    Model {
        /// Path to use at the endpoint.
        path: &'static str,
        /// Model name, which is the name of the pool.
        model: String,
    },
    /// `/services/{name}/{path}`, with any method.
    Service {
        /// Service name, which is the name of the pool.
        name: String,
        /// Path and query to use at the endpoint.
        path: String,
    },
}

/// Paths of model requests, the same for callers and endpoints.
pub const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

impl Target {
    /// Returns the path and query to use at the endpoint.
    pub fn endpoint_path(&self) -> &str {
        match self {
            Self::Model { path, .. } => path,
            Self::Service { path, .. } => path,
        }
    }

    /// Returns the name of the pool.
    pub fn pool(&self) -> &str {
        match self {
            Self::Model { model, .. } => model,
            Self::Service { name, .. } => name,
        }
    }
}

/// Request of a caller, parsed and within the limits.
#[derive(Clone, Debug)]
pub struct Request {
    /// Random identifier in logs and in the header `x-request-id`, 16 hexadecimal
    /// digits.
    pub id: String,
    /// IP address of the caller.
    pub address: net::IpAddr,
    /// Key from `Authorization: Bearer KEY`; `None` without the header.
    pub bearer: Option<String>,
    /// Pool and path at the endpoint.
    pub target: Target,
    /// HTTP method.
    pub method: http::Method,
    /// Headers that are forwarded to the endpoint.
    pub headers: http::HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether the caller requested an event stream; false for services.
    pub is_stream: bool,
    /// Maximum output length in tokens, if the caller gave one.
    pub max_tokens: Option<u32>,
    /// Estimated prompt length in tokens; 0 for services.
    pub prompt_tokens: u32,
    /// Hash of the leading bytes of the body, for prefix affinity; 0 for services.
    pub prefix_hash: u64,
    /// Hash of the pool, the service path, the bearer key and the body; never 0.
    pub fingerprint: u64,
    /// Time until the deadline from `Request-Deadline`, at most 24 hours; `None`
    /// without the header.
    pub deadline: Option<time::Duration>,
    /// Value of `Idempotency-Key`, 1 to 255 bytes; `None` without the header.
    pub idempotency_key: Option<String>,
    /// Unix time of the first attempt in milliseconds, from `Request-Time`; `None`
    /// without the header.
    pub request_time_ms: Option<u64>,
    /// Whether the work may run more than once, from `Request-Idempotent`; `None`
    /// without the header.
    pub is_idempotent: Option<bool>,
}
