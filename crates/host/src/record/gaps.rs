use core::time;

/// Share of gaps that may be above the target before it counts as missed, as
/// one in so many. The target is for 95 in 100 tokens.
const SLOW_ONE_IN: u32 = 20;

/// Times between the tokens of one answer against their target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gaps {
    last: Option<(time::Duration, u32)>,
    met: (u32, time::Duration),
    slow: (u32, time::Duration),
}

impl Gaps {
    /// Notes that `tokens` were delivered until `now`.
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

    /// Returns the mean of the gaps above the target if more than one in
    /// twenty is, else the mean of the others.
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
