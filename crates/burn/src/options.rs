use crate::class;

/// Default maximum number of series. At about 1.1 KB per series the recorder
/// takes less than 5 MB, a sixth of the control memory of a host.
const SERIES_MAX: usize = 4_096;

/// Settings of a [`crate::Recorder`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Classes, indexed by [`crate::Event::class`].
    pub classes: Vec<class::Class>,
    /// Maximum number of series, each for a class and a team. Further teams share
    /// one series per class, which has the name `other` and does not count
    /// towards this number.
    pub series_max: usize,
}

impl Options {
    /// Returns options with at most 4,096 series.
    pub const fn new(classes: Vec<class::Class>) -> Self {
        Self {
            classes,
            series_max: SERIES_MAX,
        }
    }
}
