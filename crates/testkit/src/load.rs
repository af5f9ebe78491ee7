//! Seeded open-loop load generator: plans arrivals, sends the requests and records the
//! outcomes.

mod arrival;
mod call;
mod events;
mod flow;
mod outcome;
mod plan;
mod record;
mod run;
mod swing;

pub use arrival::Arrival;
pub use call::Call;
pub use events::Events;
pub use flow::{Flow, Work};
pub use outcome::Outcome;
pub use plan::plan;
pub use record::Record;
pub use run::{Options, Sample, idempotency_headers, run};
pub use swing::{Burst, Swing};
