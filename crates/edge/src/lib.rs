//! Host for opaque traffic: HTTP requests whose content the router does not
//! interpret.
//!
//! A [`Host`] reads a whole request from a caller, finds its route in a
//! [`plan::Plan`], selects an endpoint with [`steer::Balancer`] and passes
//! method, path, body and answer through unchanged. Failed attempts are retried
//! if the route and the retry budget allow it, and broken streams are resumed at
//! another endpoint. Hosts exchange their loads and the newest configuration, so
//! that a host that cannot read the platform uses the state of the others.
//!
//! Header names are settings ([`Headers`]). The program supplies configuration
//! and endpoints through [`Host::apply_plan`] and [`Host::update_endpoints`].
//!
//! Crate `host` is the counterpart for requests to language models, which it
//! parses and queues. Crates `plan` and `steer` decide without I/O; this crate
//! carries out their decisions. Crate `front` provides the HTTP server, `fleet`
//! the membership protocol and `peer` the transport of its datagrams.
//!
//! Modules with similar words: `connection` is one connection to an endpoint and
//! `connections` the pool of idle ones; `ingress` accepts requests, `flow`
//! directs the attempts, `send` makes one and `attempt` is one that is open;
//! `forward` lets another host send one, and `forwarder` sends those of other hosts;
//! `plain` and `relay` pass on answers with one body and streams of events,
//! `source` is one run of a stream, `resume` finds the build at which a stream goes
//! on, from `builds`, `origins` and the `witness` of other hosts; and `remainder` passes on what `plain` does
//! not buffer; `exchange` builds the answers for callers, and
//! `reply` the HTTP form of refusals; `mesh`, `gossip`, `publish`, `catch_up`
//! and `peers` exchange state with other hosts, `sources` says which of them to ask,
//! `history` which changes they lack, and `bulk` bounds the large answers.

mod admit;
mod announced;
mod answered;
mod attempt;
mod blame;
mod builds;
mod bulk;
mod case;
mod catch_up;
mod cold;
mod cold_log;
mod configuration;
mod confirmation;
mod connection;
mod connections;
mod content;
mod crash;
mod eras;
mod evacuation;
mod exchange;
mod explain;
mod expose;
mod extension;
mod flow;
mod forward;
mod forwarder;
mod gateway;
mod gauge;
mod gossip;
mod guard;
mod headers;
mod history;
mod host;
mod incoming;
mod ingress;
mod intake;
mod job;
mod limits;
mod log_budget;
mod mesh;
pub mod metrics;
mod options;
mod origins;
mod partial;
mod peers;
mod plain;
mod publish;
mod rates;
mod reach;
mod record;
mod refresh;
mod registry;
mod relay;
mod remainder;
mod reply;
mod reports;
mod request_log;
mod resend;
mod resume;
mod role;
mod send;
mod snapshot;
mod source;
mod sources;
mod stated;
mod step;
mod stop;
mod transition;
mod witness;

pub use case::{Case, Damage};
pub use content::Content;
pub use eras::Eras;
pub use headers::Headers;
pub use host::Host;
pub use options::Options;
pub use registry::{Entry, Registry};
pub use reply::refusal;
