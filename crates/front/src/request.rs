use core::time;
use std::net;

use bytes::Bytes;

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// `POST /v1/chat/completions` or `POST /v1/completions`.
    Model {
        /// Path to use at the endpoint.
        path: &'static str,
        /// Model name, which is the name of the pool.
        model: String,
    },
    /// `/services/{name}/{path}`.
    Service {
        /// Service name, which is the name of the pool.
        name: String,
        /// Path and query to use at the endpoint.
        path: String,
    },
}

/// Paths of model requests, the same for callers and at endpoints.
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

/// A caller's request, parsed and within the limits.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identity in logs and answers.
    pub id: String,
    /// Caller's address.
    pub address: net::IpAddr,
    /// Bearer key.
    pub bearer: Option<String>,
    /// Where the request goes.
    pub target: Target,
    /// HTTP method.
    pub method: http::Method,
    /// Headers that are passed on to the endpoint.
    pub headers: http::HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether the caller wants an event stream.
    pub is_stream: bool,
    /// Upper bound of the output length in tokens.
    pub max_tokens: Option<u32>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hash of the leading part of the prompt.
    pub prefix_hash: u64,
    /// Hash of the whole request.
    pub fingerprint: u64,
    /// Time to the deadline, if the caller gave one.
    pub deadline: Option<time::Duration>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Time of the first attempt in Unix milliseconds.
    pub request_time_ms: Option<u64>,
    /// Whether the caller says that the work may run more than once.
    pub is_idempotent: Option<bool>,
}
