use core::time;

use crate::request;

slotmap::new_key_type! {
    /// Key of a granted request.
    pub(crate) struct Key;
}

/// A granted request that has not ended.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) request: request::Request,
    pub(crate) charge: sched::Charge,
    pub(crate) run: route::RunKey,
    pub(crate) granted_at: time::Duration,
    pub(crate) is_suspect: bool,
}
