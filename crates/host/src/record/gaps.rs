use core::time;

/// Inverse of the share of gaps that may exceed the target before it counts as
/// missed: one in 20, because the target applies to 95 of 100 tokens.
const SLOW_ONE_IN: u32 = 20;

/// Gaps between the tokens of one answer, compared with their target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gaps {
    /// Time of the last change and the number of tokens then.
    last: Option<(time::Duration, u32)>,
    /// Number and sum of the gaps within the target.
    met: (u32, time::Duration),
    /// Number and sum of the gaps above the target.
    slow: (u32, time::Duration),
}

impl Gaps {
    /// Records that `tokens` have been delivered in total at `now`.
    ///
    /// Tokens that arrive together share the time since the previous ones equally.
    pub(crate) fn record(
        &mut self,
        now: time::Duration,
        tokens: u32,
        target: Option<time::Duration>,
    ) {
        let Some((at, known)) = self.last else {
            self.last = Some((now, tokens));
            return;
        };
        let added = tokens.saturating_sub(known);
        if added == 0 {
            return;
        }
        self.last = Some((now, tokens));
        let spent = now.saturating_sub(at);
        let is_slow = target.is_some_and(|target| spent / added > target);
        let sum = if is_slow {
            &mut self.slow
        } else {
            &mut self.met
        };
        sum.0 += added;
        sum.1 += spent;
    }

    /// Returns the mean of the gaps above the target if more than one in twenty
    /// exceeds it, and the mean of the others if not. `None` without any gap.
    pub(crate) fn figure(&self) -> Option<time::Duration> {
        let all = self.met.0 + self.slow.0;
        let (count, sum) = if self.slow.0.saturating_mul(SLOW_ONE_IN) > all {
            self.slow
        } else {
            self.met
        };
        (count > 0).then(|| sum / count)
    }
}
