//! HTTP client for endpoints: model engines and plain services.
//!
//! [`Client::send`] tells whether a failed request may have reached the
//! endpoint, which decides whether a non-idempotent request may be repeated.

mod client;
mod error;
mod load;
mod tally;

pub use client::{Client, Options, Reuse};
pub use error::Error;
pub use load::Load;
pub use tally::Tally;

/// Body of an endpoint's answer.
pub type Body = hyper::body::Incoming;
