use core::time;
use std::net;

/// Properties of a request from which [`crate::Table::resolve`] decides.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Bearer key; `None` for an anonymous caller.
    pub bearer: Option<&'a str>,
    /// Address of the caller.
    pub address: net::IpAddr,
    /// Name of the requested model or service.
    pub pool: &'a str,
    /// Whether the request may run more than once; `None` if it is not stated. Only
    /// `false` has an effect.
    pub idempotent: Option<bool>,
    /// Time from now after which the response is of no use; `None` stands for the
    /// deadline of the class. Limited to `conf::settings::DEADLINE_MAX`.
    pub deadline: Option<time::Duration>,
}
