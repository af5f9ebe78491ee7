use core::time;

use crate::request;

slotmap::new_key_type! {
    /// Key of a granted ask.
    pub(crate) struct Key;
}

/// A granted ask that has not ended.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) request: request::Request,
    pub(crate) ticket: sched::Charge,
    pub(crate) run: route::RunKey,
    pub(crate) granted: time::Duration,
    pub(crate) suspect: bool,
}
