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
    /// Every endpoint is too busy; a retry is sensible after this time.
    Busy(time::Duration),
}
