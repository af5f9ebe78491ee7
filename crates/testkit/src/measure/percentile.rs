use core::time;

/// Returns the value in ms below which a share of the durations lies.
///
/// Uses the nearest rank; returns `None` without durations.
pub(crate) fn percentile(durations: &mut [time::Duration], share: f64) -> Option<f64> {
    durations.sort_unstable();
    let rank = (share * durations.len() as f64).ceil() as usize;
    let duration = durations.get(rank.saturating_sub(1))?;
    Some(duration.as_secs_f64() * 1e3)
}
