use core::time;
use std::sync;
use std::time as clock;

#[derive(Default)]
struct State {
    last_logged: Option<clock::Instant>,
    /// Number of warnings suppressed since the last one that was logged.
    suppressed: u64,
}

/// Rate limiter for warnings that other hosts can cause.
#[derive(Default)]
pub struct Limiter(sync::Mutex<State>);

impl Limiter {
    /// Logs a warning, or suppresses and counts it if one was logged within the last
    /// second.
    pub fn warn(&self, message: impl std::fmt::Display) {
        let mut state = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let now = clock::Instant::now();
        if state.last_logged.is_some_and(|last| now - last < INTERVAL) {
            state.suppressed += 1;
            return;
        }
        let suppressed = std::mem::take(&mut state.suppressed);
        state.last_logged = Some(now);
        drop(state);
        log::warn!(target: "peer", "peer: {message} ({suppressed} warnings suppressed before)");
    }
}

/// Minimum time between two warnings.
const INTERVAL: time::Duration = time::Duration::from_secs(1);
