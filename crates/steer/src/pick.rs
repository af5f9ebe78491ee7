use core::time;
use std::net;

use crate::key;

/// The endpoint selected for a request, with the figures behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Key of the endpoint.
    pub key: key::Key,
    /// Identifier that is sent along with the request, so that another process
    /// at the same address refuses it.
    pub id: String,
    /// When its process started, in Unix milliseconds. An endpoint may start again
    /// under the same identifier.
    pub started_ms: u64,
    /// Version of its software; `None` if it is not known.
    pub build: Option<String>,
    /// Address that accepts requests.
    pub address: net::SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether the endpoint is in the own data centre.
    pub is_local: bool,
    /// Expected time to the first event in milliseconds.
    pub wait_ms: f64,
    /// Position from 0 in the ranking of endpoints for the prompt; `None` if the
    /// endpoint is not among the first.
    pub rank: Option<usize>,
    /// Whether all shared parts of the prompt are expected in the prefix cache.
    pub is_cached: bool,
    /// Share of the engines reserved for interactive work, from 0 to 1.
    pub interactive_share: f64,
    /// Whether the endpoint is reserved for the request's kind of work.
    pub is_reserved: bool,
    /// Prompt tokens that the endpoint probably has to process, because they are
    /// not in its prefix cache.
    pub prefill_tokens: u32,
    /// Age of the newest report of the endpoint; `None` without a report.
    pub report_age: Option<time::Duration>,
}

/// Result of the selection for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request is sent to this endpoint.
    Selected(Pick),
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// Every endpoint is too busy.
    Refused(Refusal),
}

/// Why a request was refused, with the figures of the best endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Delay after which the caller should retry.
    pub retry_after: time::Duration,
    /// Expected time to the first event in milliseconds.
    pub wait_ms: f64,
    /// Time to process the pending prompts in milliseconds.
    pub backlog_ms: f64,
    /// Whether the endpoint has room in its slots and KV cache.
    pub has_room: bool,
    /// Endpoints that were compared.
    pub compared: usize,
    /// Endpoints that were left out because connections to them fail.
    pub down: usize,
}
