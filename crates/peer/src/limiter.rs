use core::time;
use std::sync;
use std::time as clock;

#[derive(Default)]
struct State {
    last: Option<clock::Instant>,
    suppressed: u64,
}

/// Limits how often a fault of other hosts is logged.
#[derive(Default)]
pub struct Limiter(sync::Mutex<State>);

impl Limiter {
    /// Logs a warning unless one was logged within the last second.
    pub fn warn(&self, message: impl std::fmt::Display) {
        let mut state = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let now = clock::Instant::now();
        if state.last.is_some_and(|last| now - last < INTERVAL) {
            state.suppressed += 1;
            return;
        }
        let suppressed = std::mem::take(&mut state.suppressed);
        state.last = Some(now);
        drop(state);
        log::warn!(target: "peer", "peer: {message} ({suppressed} like this were not logged)");
    }
}

/// Time between two lines.
const INTERVAL: time::Duration = time::Duration::from_secs(1);
