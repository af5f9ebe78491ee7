/// What a refusal advises its caller to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Advice {
    /// The same request cannot succeed; the caller must change it.
    Never,
    /// The same request may succeed after the delay in `Retry-After`.
    After,
    /// Another listed host may serve the request at once.
    Elsewhere,
}
