/// Number of gaps of one observation. The median of so few passes over a single pause for
/// the prompt of another request, and over events that arrived together.
const GAPS: usize = 5;

/// Step times of the last events of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Gaps {
    steps_ms: [f32; GAPS],
    count: usize,
}

impl Gaps {
    /// Adds the time of a step between two events. Returns the median of every [`GAPS`]
    /// of them.
    pub(crate) fn push(&mut self, step_ms: f32) -> Option<f32> {
        self.steps_ms[self.count] = step_ms;
        self.count += 1;
        if self.count < GAPS {
            return None;
        }
        self.count = 0;
        self.steps_ms.sort_unstable_by(f32::total_cmp);
        Some(self.steps_ms[GAPS / 2])
    }
}
