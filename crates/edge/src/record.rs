use crate::step;

/// The decisions about one request.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Decisions whose lines are not written yet.
    waiting: Vec<step::Step>,
    /// Whether lines are written as decisions are made.
    is_open: bool,
    has_lost: bool,
}

impl Record {
    /// Records a decision.
    pub(crate) fn note(&mut self, id: &str, step: step::Step) {
        self.has_lost |= step.what == step::LOST;
        if self.is_open {
            write(id, &step);
        } else {
            self.waiting.push(step);
        }
    }

    /// Writes what is recorded, and from now on each decision as it is made.
    pub(crate) fn open(&mut self, id: &str) {
        self.is_open = true;
        for step in self.waiting.drain(..) {
            write(id, &step);
        }
    }

    /// Returns whether lines are written as decisions are made.
    pub(crate) const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns the number of lines that are not written yet.
    pub(crate) const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether an attempt was lost.
    pub(crate) const fn has_lost(&self) -> bool {
        self.has_lost
    }
}

fn write(id: &str, step: &step::Step) {
    log::info!(
        target: "request",
        request = id, step = step.what, at_ms = step.at.as_millis() as u64;
        "{}", step.inputs
    );
}
