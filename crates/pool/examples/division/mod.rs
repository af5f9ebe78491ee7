//! Discrete-event loop of several hosts that share one model pool.

mod lease;
mod message;
mod place;
pub mod request;
pub mod setup;
mod tally;
mod world;

pub use setup::{Division, Setup};
pub use world::World;
