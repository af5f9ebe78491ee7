use core::time;
use std::sync;

use crate::record;

/// How a request is to be served, from its class and its headers.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    pub(crate) class: sync::Arc<str>,
    pub(crate) tier: u8,
    pub(crate) team: u32,
    pub(crate) caller: u64,
    /// Time left from now.
    pub(crate) deadline: time::Duration,
    pub(crate) idempotent: bool,
    pub(crate) trace: record::Trace,
}

impl From<&class::Resolution> for Terms {
    fn from(outcome: &class::Resolution) -> Self {
        Self {
            class: outcome.class.clone(),
            tier: outcome.tier,
            team: outcome.team_key,
            caller: outcome.caller,
            deadline: outcome.deadline,
            idempotent: outcome.is_idempotent,
            trace: record::Trace::default(),
        }
    }
}
