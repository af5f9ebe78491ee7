//! HTTP client for endpoints, which are model engines and plain services.
//!
//! [`Client`] limits and pools the connections and sends requests over HTTP/1.1
//! or HTTP/2. Its [`Error`] distinguishes requests that were certainly not sent
//! from those that may have run, which decides whether a non-idempotent request
//! may be repeated. The crate `front` is the opposite side: it serves the
//! connections of callers. Which endpoint serves a request and whether it is
//! retried is decided elsewhere.

mod client;
mod connector;
mod delivery;
mod error;
mod error_chain;
pub mod event;
mod event_counter;
mod load;
mod options;
mod query;
pub mod response;
mod reuse;
mod slots;
mod stream;
pub mod transfer;
mod uses;
mod version;

pub use client::Client;
pub use error::Error;
pub use error_chain::error_chain;
pub use event_counter::EventCounter;
pub use load::Load;
pub use options::Options;
pub use query::Query;
pub use reuse::Reuse;
pub use uses::Reused;
pub use version::Version;

/// Body of an endpoint's response, which is received as it is read.
pub type Body = hyper::body::Incoming;
