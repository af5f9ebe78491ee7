//! Measurement of the bytes, processor time and memory that router hosts use and of the
//! time until a configuration change is in force; the library of the program `capacity`.

mod callers;
pub mod change;
pub mod fleet;
mod process;
mod router;
mod settings;
mod source;

pub use callers::{Callers, Report};
pub use process::Process;
pub use router::{Router, start_router};
pub use settings::{endpoints, host_options};
pub use source::Source;
