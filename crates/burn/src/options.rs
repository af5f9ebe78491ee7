use crate::class;

/// Default upper bound of series. At about 1.1 KB per series the book stays
/// below 5 MB, a sixth of the control memory of a host.
const SERIES_MAX: usize = 4_096;

/// Settings of a [`crate::Recorder`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Classes, indexed by [`crate::Event::class`].
    pub classes: Vec<class::Class>,
    /// Upper bound of series of a class and a team. Further teams share one
    /// series per class with the name `other`.
    pub series_max: usize,
}

impl Options {
    /// Returns options with the default bound.
    pub const fn new(classes: Vec<class::Class>) -> Self {
        Self {
            classes,
            series_max: SERIES_MAX,
        }
    }
}
