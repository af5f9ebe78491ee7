/// Effect of a crash report on [`crate::Quarantine`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The crash was known before, or the request cannot be identified.
    Ignored,
    /// The crash counts against the request.
    Counted,
    /// The crash counts and makes the request poison.
    Convicted,
}
