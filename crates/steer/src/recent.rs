use core::time;

use crate::choose;
use crate::fair;
use crate::targets;
use crate::weigh;
use crate::work;

/// What decisions keep for later ones. It is apart from the rest of the balancer so that
/// an explanation changes only a copy. Each decision takes it out of the balancer, so it is
/// kept in a box: moving it took 4 % of a decision on three endpoints without engines.
#[derive(Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Recent {
    /// Targets of recent bulk work, by service.
    targets: rustc_hash::FxHashMap<String, targets::Targets>,
    /// Recent use by team, by service.
    shares: rustc_hash::FxHashMap<String, fair::Shares>,
    /// Mean backlog of the engines in prompt tokens, by service.
    pub(crate) mean_backlogs: rustc_hash::FxHashMap<String, (time::Duration, f64)>,
    #[serde(skip)]
    pub(crate) rankings: weigh::Rankings,
}

impl Recent {
    /// Returns a copy of what concerns one service. Rankings are left out, because they
    /// follow from the list of endpoints.
    pub(crate) fn of_service(&self, service: &str) -> Self {
        Self {
            targets: of_service(&self.targets, service),
            shares: of_service(&self.shares, service),
            mean_backlogs: of_service(&self.mean_backlogs, service),
            rankings: weigh::Rankings::default(),
        }
    }

    /// Records the target of bulk work.
    pub(crate) fn record_target(
        &mut self,
        now: time::Duration,
        service: &str,
        objective: work::Objective,
    ) {
        let targets = self.targets.entry(service.to_owned()).or_default();
        targets.record(now, objective.urgency, objective.target_first);
    }

    /// Returns the target by which the backlog for bulk work is bounded.
    pub(crate) fn bulk_target(
        &self,
        now: time::Duration,
        service: &str,
        objective: work::Objective,
    ) -> time::Duration {
        self.targets
            .get(service)
            .and_then(|targets| targets.tightest(now, objective.urgency))
            .unwrap_or(objective.target_first)
    }

    /// Returns whether there was no bulk work lately that is less urgent.
    pub(crate) fn is_least_urgent(
        &self,
        now: time::Duration,
        service: &str,
        objective: work::Objective,
    ) -> bool {
        self.targets
            .get(service)
            .is_none_or(|targets| !targets.has_less_urgent(now, objective.urgency))
    }

    /// Counts a request for its team; returns whether the team uses much more than its
    /// equal share. A request that was sent before has been counted.
    pub(crate) fn record_team(&mut self, question: &choose::Question<'_>) -> bool {
        let Some(team) = question.scope.team else {
            return false;
        };
        let shares = self.shares.entry(question.service.to_owned()).or_default();
        if question.scope.tried.is_empty() {
            shares.record(question.now, team, question.work.prompt_tokens.into());
        }
        shares.is_over(question.now, team)
    }
}

fn of_service<T: Clone>(
    all: &rustc_hash::FxHashMap<String, T>,
    service: &str,
) -> rustc_hash::FxHashMap<String, T> {
    let known = all.get_key_value(service).into_iter();
    known
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
