use core::time;
use std::sync;

use crate::record;

/// Conditions under which a request is served, derived from its class and headers.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    pub(crate) class: sync::Arc<str>,
    /// Priority tier; 0 is the highest.
    pub(crate) tier: u8,
    /// Key of the team; 0 for callers without a bearer key.
    pub(crate) team: u32,
    /// Hash that identifies the caller.
    pub(crate) caller: u64,
    /// Time left when the terms were made.
    pub(crate) deadline: time::Duration,
    pub(crate) is_idempotent: bool,
    pub(crate) trace: record::Trace,
}

impl From<&class::Resolution> for Terms {
    fn from(resolution: &class::Resolution) -> Self {
        Self {
            class: resolution.class.clone(),
            tier: resolution.tier,
            team: resolution.team_key,
            caller: resolution.caller,
            deadline: resolution.deadline,
            is_idempotent: resolution.is_idempotent,
            trace: record::Trace::default(),
        }
    }
}
