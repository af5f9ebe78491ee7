use core::time;

/// Gap between two ticks above which the process counts as paused.
///
/// The host must call `tick` several times within this duration.
pub const PAUSE_THRESHOLD: time::Duration = time::Duration::from_secs(1);

/// Detects that the process was paused, such as by a suspended machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Detector {
    last_tick: Option<time::Duration>,
    last_wall: Option<(time::Duration, u64)>,
}

impl Detector {
    /// Records that the process runs and returns the length of the pause that
    /// ends now, if there was one.
    pub(crate) fn observe(&mut self, now: time::Duration) -> Option<time::Duration> {
        let last = self.last_tick.replace(now)?;
        let gap = now.saturating_sub(last);
        (gap > PAUSE_THRESHOLD).then_some(gap)
    }

    /// Returns whether the wall clock ran ahead of the monotonic clock since the
    /// last call.
    ///
    /// A suspended virtual machine may stop the monotonic clock too; the wall
    /// clock shows the pause once it has been corrected. `wall` is in Unix
    /// milliseconds.
    pub(crate) fn is_clock_jump(&mut self, now: time::Duration, wall: u64) -> bool {
        let Some((then, earlier)) = self.last_wall.replace((now, wall)) else {
            return false;
        };
        let elapsed = now.saturating_sub(then);
        let wall_elapsed = time::Duration::from_millis(wall.saturating_sub(earlier));
        wall_elapsed > elapsed.saturating_add(PAUSE_THRESHOLD)
    }
}
