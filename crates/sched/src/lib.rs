//! Scheduling queue with tiers, floors, deadlines and weighted fair shares.
//!
//! [`Queue`] orders the requests of one shard. It has no endpoints, does no I/O
//! and reads no clock: the owner, crate `pool`, passes the time and the lanes
//! that have room, and takes one job at a time. Crate `route` chooses the
//! endpoint. [`Class`] holds only what the order depends on; crate `class`
//! decides which class a request has.
//!
//! Each operation takes time logarithmic in the number of queued jobs plus
//! linear in the number of classes.

mod admission;
mod backlog;
mod caller;
mod charge;
mod choose;
mod class;
mod demote;
mod entry;
mod estimate;
mod expire;
mod flows;
mod job;
mod lane;
mod log;
mod meter;
mod options;
mod pick;
mod position;
mod queue;
mod record;
mod shedding;
mod subqueue;
mod tag;
mod team;
mod tier;

pub use admission::Admission;
pub use charge::Charge;
pub use class::Class;
pub use job::Job;
pub use lane::{Lane, Lanes};
pub use meter::Meter;
pub use options::Options;
pub use pick::Pick;
pub use queue::{Key, Queue};
pub use record::{Rank, Reason, Record};
