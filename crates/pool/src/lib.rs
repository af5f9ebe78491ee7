//! Scheduling policy of one shard of a pool.
//!
//! A pool serves one model or service and is divided into shards. The home host
//! of a shard keeps one [`Policy`], which admits requests, grants them slots at
//! endpoints and refuses those that cannot be served in time. [`Current`]
//! combines the queue of crate `sched`, which orders requests, with the endpoint
//! table of crate `route`, which chooses the endpoint. Crate `class` decides
//! which class a request has; [`Class`] holds only what the policy needs of it.
//!
//! A policy does no I/O and reads no clock: each input carries the time, and
//! decisions are returned as [`Action`]s.

mod action;
mod admit;
pub mod baseline;
mod boxed;
mod class;
pub mod current;
mod dispatch;
mod endpoint;
mod finish;
mod load;
mod options;
mod parts;
mod policy;
mod request;
mod running;
mod state;
mod stats;

pub use action::Action;
pub use baseline::Baseline;
pub use class::Class;
pub use current::Current;
pub use endpoint::{Endpoint, EndpointId, Phase};
pub use finish::{Finish, Outcome};
pub use load::Load;
pub use options::Options;
pub use policy::Policy;
pub use request::{Request, RequestId};
pub use stats::Stats;
