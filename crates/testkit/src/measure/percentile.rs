use core::time;

/// Returns the percentile of the durations in ms by the nearest-rank method, or `None`
/// without durations. `share` is between 0 and 1.
pub(crate) fn percentile(durations: &mut [time::Duration], share: f64) -> Option<f64> {
    durations.sort_unstable();
    let rank = (share * durations.len() as f64).ceil() as usize;
    let duration = durations.get(rank.saturating_sub(1))?;
    Some(duration.as_secs_f64() * 1e3)
}
