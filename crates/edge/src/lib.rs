//! One host that serves opaque traffic.
//!
//! It takes whole HTTP requests from callers, finds their route in a
//! [`plan::Plan`], chooses an endpoint with [`steer::Balancer`] and passes method,
//! path, body and answer through unchanged. Hosts tell each other their loads
//! and the newest configuration, so that a host that cannot read the platform
//! itself goes on with what the others know.
//!
//! Header names are settings ([`Headers`]); where the configuration and the
//! list of endpoints come from is up to the program, which calls
//! [`Host::apply_plan`] and [`Host::update_endpoints`].

mod admit;
mod answered;
mod catch_up;
mod connection;
mod connections;
mod crash;
mod event;
mod exchange;
mod expose;
mod flow;
mod gauge;
mod gossip;
mod guard;
mod headers;
mod host;
mod incoming;
mod ingress;
mod job;
mod log_budget;
mod mesh;
pub mod metrics;
mod options;
mod peers;
mod plain;
mod publish;
mod record;
mod registry;
mod relay;
mod remainder;
mod reply;
mod request_log;
mod send;
mod snapshot;
mod step;
mod stop;
mod transition;
mod watchers;

pub use event::Splitter;
pub use headers::Headers;
pub use host::Host;
pub use options::Options;
pub use registry::{Entry, Registry};
pub use reply::refusal;
