use core::time;

/// Time after its last request for which the target of a kind of work counts.
const KEPT: time::Duration = time::Duration::from_secs(30);

/// Target of one kind of work.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
struct Target {
    urgency: f64,
    first_event: time::Duration,
    seen: time::Duration,
}

/// The targets for the first event of the kinds of bulk work that a service has
/// received lately.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Targets(Vec<Target>);

impl Targets {
    /// Records a request with this urgency and target.
    pub(crate) fn record(
        &mut self,
        now: time::Duration,
        urgency: f64,
        first_event: time::Duration,
    ) {
        self.0
            .retain(|target| now.saturating_sub(target.seen) < KEPT);
        let known = self
            .0
            .iter_mut()
            .find(|target| target.urgency == urgency && target.first_event == first_event);
        match known {
            Some(target) => target.seen = now,
            None => self.0.push(Target {
                urgency,
                first_event,
                seen: now,
            }),
        }
    }

    /// Returns whether there was work that is less urgent.
    pub(crate) fn has_less_urgent(&self, now: time::Duration, urgency: f64) -> bool {
        self.0
            .iter()
            .filter(|target| now.saturating_sub(target.seen) < KEPT)
            .any(|target| target.urgency < urgency)
    }

    /// Returns the tightest target of the kinds of work that are at least as
    /// urgent, or `None` if there was none.
    pub(crate) fn tightest(&self, now: time::Duration, urgency: f64) -> Option<time::Duration> {
        self.0
            .iter()
            .filter(|target| now.saturating_sub(target.seen) < KEPT)
            .filter(|target| target.urgency >= urgency)
            .map(|target| target.first_event)
            .min()
    }
}
