use crate::step;

/// Decisions about one request for the request log. They are buffered until
/// [`Record::start_writing`] is called.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Decisions that are not logged yet.
    pending: Vec<step::Step>,
    /// Whether decisions are logged as they are made.
    is_writing: bool,
    has_lost_attempt: bool,
}

impl Record {
    /// Records a decision.
    pub(crate) fn push(&mut self, id: &str, step: step::Step) {
        self.has_lost_attempt |= step.what == step::LOST;
        if self.is_writing {
            write(id, &step);
        } else {
            self.pending.push(step);
        }
    }

    /// Logs the buffered decisions, and from now on each one as it is made.
    pub(crate) fn start_writing(&mut self, id: &str) {
        self.is_writing = true;
        for step in self.pending.drain(..) {
            write(id, &step);
        }
    }

    /// Returns whether decisions are logged as they are made.
    pub(crate) const fn is_writing(&self) -> bool {
        self.is_writing
    }

    /// Returns the number of buffered decisions.
    pub(crate) const fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the outcome of an attempt was unknown.
    pub(crate) const fn has_lost_attempt(&self) -> bool {
        self.has_lost_attempt
    }
}

fn write(id: &str, step: &step::Step) {
    log::info!(
        target: "request",
        request = id, step = step.what, at_ms = step.at.as_millis() as u64;
        "{}", step.inputs
    );
}
