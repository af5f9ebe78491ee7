//! HTTP client for endpoints: model engines and plain services.
//!
//! [`Client::send`] tells whether a failed request may have reached the
//! endpoint, which decides whether a non-idempotent request may be repeated.

mod client;
mod connector;
mod error;
mod error_chain;
mod event_counter;
mod load;
mod options;
mod reuse;
mod slots;
mod stream;
mod version;

pub use client::Client;
pub use error::Error;
pub use error_chain::error_chain;
pub use event_counter::EventCounter;
pub use load::Load;
pub use options::Options;
pub use reuse::Reuse;
pub use version::Version;

/// Body of an endpoint's answer.
pub type Body = hyper::body::Incoming;
