//! Records of the requests that this host received from callers, and the counts
//! and metrics about them.

mod counter;
mod end;
mod entry;
mod gaps;
mod metrics;
mod records;
mod reporter;
mod shard;
mod step;
mod tally;
mod trace;

pub(crate) use entry::Entry;
pub(crate) use records::Records;
pub(crate) use reporter::send_host_metrics;
pub(crate) use step::Step;
pub(crate) use trace::Trace;
