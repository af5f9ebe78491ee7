//! Parsers of the URI, the headers and the body of requests. They are pure
//! functions, so that tests can run them on arbitrary input.

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

fn bad_request(text: impl Into<String>) -> Refusal {
    Refusal::new(Kind::BadRequest, text)
}
