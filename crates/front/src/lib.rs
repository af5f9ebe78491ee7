//! HTTP interface for callers.
//!
//! It parses and bounds what callers send, hands a [`Request`] to a
//! [`Service`], and turns each [`Answer`] or refusal into HTTP.

mod activity;
mod body;
mod connection;
mod counters;
mod encode;
mod fingerprint;
mod handler;
mod options;
pub mod parse;
mod request;
mod response;
mod response_body;
mod routes;
mod server;
mod service;
mod slots;
mod stream;
mod throttle;
pub mod tls;

pub use counters::Counters;
pub use encode::refusal as refusal_response;
pub use handler::{Handler, HandlerFuture};
pub use options::Options;
pub use request::{MODEL_PATHS, Request, Target};
pub use response::Response;
pub use server::Server;
pub use service::{Service, ServiceFuture};

/// Body of an answer.
pub type Body = axum::body::Body;
