//! Parsers of what callers send, as functions of their input alone.

mod bounds;
mod completion;
mod head;
mod target;
mod value;

pub use bounds::bounds;
pub use completion::{Completion, completion};
pub use head::{Head, head};
pub use target::target;
pub use value::{bearer, deadline, request_time};

use answer::{Kind, Refusal};

fn bad(text: impl Into<String>) -> Refusal {
    Refusal::new(Kind::BadRequest, text)
}
