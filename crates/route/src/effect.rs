/// Effect of a crash report on [`crate::Quarantine`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The report does not count.
    Ignored,
    /// The request is a suspect.
    Suspected,
    /// The request is poison.
    Convicted {
        /// Number of other suspects that were cleared by this.
        cleared: usize,
    },
}
