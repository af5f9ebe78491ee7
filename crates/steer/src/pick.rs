use core::time;
use std::net;

use crate::key;

/// The endpoint that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Key of the endpoint.
    pub key: key::Key,
    /// Identifier that the order names.
    pub id: String,
    /// Address.
    pub address: net::SocketAddr,
    /// Whether the endpoint is in the own data centre.
    pub is_local: bool,
    /// Expected wait for the first event in milliseconds.
    pub wait_ms: f64,
    /// Place in the order in which hosts place the prompt, from 0; nothing if
    /// it is not among the first.
    pub rank: Option<usize>,
    /// Whether the shared parts of the prompt are known to be in memory.
    pub is_cached: bool,
    /// Share of the engines that is kept for interactive work.
    pub interactive_share: f64,
    /// Whether the endpoint is kept for this kind of work.
    pub is_reserved: bool,
    /// Prompt tokens that the endpoint probably has to read.
    pub prefill_tokens: u32,
    /// Age of the newest report of the endpoint.
    pub report_age: Option<time::Duration>,
}

/// Where a request goes, or why it goes nowhere.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It goes to this endpoint.
    Selected(Pick),
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// Every endpoint is too busy.
    Refused(Refusal),
}

/// Why no endpoint takes a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// After what time a retry is sensible.
    pub retry_after: time::Duration,
    /// Expected wait at the best endpoint in milliseconds.
    pub wait_ms: f64,
    /// Time that the prompts ahead take there in milliseconds.
    pub backlog_ms: f64,
    /// Whether that endpoint has room in its places and memory.
    pub has_room: bool,
}
