//! HTTP interface for callers.
//!
//! It parses and bounds what callers send, hands a [`Request`] to a
//! [`Service`], and turns each [`Answer`] or refusal into HTTP.

mod activity;
mod answer_body;
mod body;
mod connection;
mod counters;
mod exchange;
mod fingerprint;
mod options;
pub mod parse;
mod reply;
mod reply_body;
mod request;
mod routes;
mod server;
mod service;
mod slots;
mod stream;
mod throttle;
pub mod tls;

pub use answer_body::Answer;
pub use counters::Counters;
pub use exchange::{Exchange, Exchanging};
pub use options::Options;
pub use reply::refusal as refusal_reply;
pub use request::{MODEL_PATHS, Path, Request};
pub use server::Server;
pub use service::{Service, Serving};

/// Body of an answer.
pub type Body = axum::body::Body;
