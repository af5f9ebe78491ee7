//! HTTP interface for callers.
//!
//! It parses and bounds what callers send, hands a [`Request`] to a
//! [`Service`], and turns each [`Answer`] or refusal into HTTP.

mod answer_body;
mod body;
mod parse;
mod reply;
mod request;
mod routes;
mod server;
mod service;

pub use answer_body::Answer;
pub use reply::refusal as refusal_reply;
pub use request::{MODEL_PATHS, Path, Request};
pub use server::{Options, Server};
pub use service::{Service, Serving};

/// Body of an answer.
pub type Body = axum::body::Body;
