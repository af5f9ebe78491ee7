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
    pub is_near: bool,
    /// Expected wait for the first event in milliseconds.
    pub wait_ms: f64,
    /// Prompt tokens that the endpoint probably has to read.
    pub unread_tokens: u32,
    /// Age of the newest report of the endpoint.
    pub report_age: Option<time::Duration>,
}

/// Where a request goes, or why it goes nowhere.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It goes to this endpoint.
    Sent(Pick),
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// Every endpoint is too busy.
    Busy(Refusal),
}

/// Why no endpoint takes a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// After what time a retry is sensible.
    pub after: time::Duration,
    /// Expected wait at the best endpoint in milliseconds.
    pub wait_ms: f64,
    /// Time that the prompts ahead take there in milliseconds.
    pub backlog_ms: f64,
    /// Whether that endpoint has room in its places and memory.
    pub has_room: bool,
}
