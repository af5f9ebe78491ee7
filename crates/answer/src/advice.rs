/// Retry advice that a refusal gives its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Advice {
    /// The caller should not repeat the request unchanged: it cannot succeed,
    /// or its work may already have run.
    Never,
    /// The same request may succeed after the delay in `Retry-After`.
    After,
    /// The request may succeed immediately on another host of the host list.
    Elsewhere,
}
