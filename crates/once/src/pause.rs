use core::time;

/// Gap between two calls above which the process counts as paused.
///
/// The host calls `tick` several times within this time.
pub const PAUSE_THRESHOLD: time::Duration = time::Duration::from_secs(1);

/// Detects that the process did not run for a while.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pause {
    last: Option<time::Duration>,
    wall: Option<(time::Duration, u64)>,
}

impl Pause {
    /// Returns the length of the pause that ends now, if there was one.
    pub(crate) fn observe(&mut self, now: time::Duration) -> Option<time::Duration> {
        let last = self.last.replace(now)?;
        let gap = now.saturating_sub(last);
        (gap > PAUSE_THRESHOLD).then_some(gap)
    }

    /// Returns whether the wall clock ran ahead of the monotonic clock.
    ///
    /// A suspended virtual machine may stop the monotonic clock too; the
    /// wall clock shows the pause once it has been corrected.
    pub(crate) fn jumped(&mut self, now: time::Duration, wall: u64) -> bool {
        let Some((then, earlier)) = self.wall.replace((now, wall)) else {
            return false;
        };
        let elapsed = now.saturating_sub(then);
        let walled = time::Duration::from_millis(wall.saturating_sub(earlier));
        walled > elapsed.saturating_add(PAUSE_THRESHOLD)
    }
}
