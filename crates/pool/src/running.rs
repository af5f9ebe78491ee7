use core::time;

use crate::ask;

/// A granted ask that has not ended.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) ask: ask::Ask,
    pub(crate) ticket: sched::Ticket,
    pub(crate) run: route::RunKey,
    pub(crate) granted: time::Duration,
    pub(crate) suspect: bool,
}
