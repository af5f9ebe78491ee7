//! Router host for requests to models and services, as run by `carobbay serve`.
//!
//! A [`Host`] parses requests through crate `front`, resolves their class,
//! acquires a slot at an endpoint from the home host of a shard, and runs the
//! attempts. It is also the home of some shards itself, forwards requests with
//! idempotency keys to the host that may dispatch them, and puts configuration
//! revisions in force. The decisions are those of the crates `class`, `pool`,
//! `once` and `fleet`; this crate connects them to sockets and clocks.
//!
//! An *ask* is the request of a host for a slot. The home of the shard queues it
//! and answers with a *grant*, which names the endpoint, or with a refusal. The
//! *permit* holds the slot of a grant until the outcome is reported.
//!
//! Crate `edge` is another host, for opaque requests whose content it does not
//! interpret. Modules with the same names in both crates differ as follows:
//!
//! - `flow` here waits in the queue of a shard for a slot before each attempt; in
//!   `edge` this host chooses the endpoint itself.
//! - `relay` here passes on token streams and resumes them from the text so far;
//!   in `edge` the events are opaque.
//! - `gossip` here sends and receives membership digests and the lease claims of
//!   key owners; in `edge` it defines the datagram with endpoint loads.
//! - `job` here is a request with an idempotency key; in `edge` it is any
//!   admitted request.
//! - `record` here holds recent requests for the administration API and counts
//!   for metrics and service levels; in `edge` it buffers one request's log.

mod attempt;
mod broker;
mod build;
mod closing;
mod config;
mod console;
mod crash;
mod flow;
mod forward;
mod gossip;
mod host;
mod inbound;
mod job;
mod keyed;
mod layout;
mod names;
mod options;
mod outbound;
mod permit;
mod platform;
mod poll;
mod reading;
mod record;
mod relay;
mod rest;
mod service;
mod shard;
mod state;
mod stored;
mod terms;
mod transcript;
mod view;
mod watch;

pub use host::Host;
pub use layout::of as shards;
pub use options::{Options, Policy, STALL_TIMEOUT};
