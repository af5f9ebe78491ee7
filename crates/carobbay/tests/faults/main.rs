//! Invariants under failure, with router hosts as processes on loopback.

mod booking;
mod fleet;
mod net;
mod once;
