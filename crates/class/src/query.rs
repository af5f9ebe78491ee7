use core::time;
use std::net;

/// What a request says about itself.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Bearer key; `None` for an anonymous caller.
    pub bearer: Option<&'a str>,
    /// Address of the caller.
    pub address: net::IpAddr,
    /// Model or service.
    pub pool: &'a str,
    /// Whether the request may run more than once, if it says so.
    pub idempotent: Option<bool>,
    /// Time from now after which the answer is no longer wanted, if given.
    pub deadline: Option<time::Duration>,
}
