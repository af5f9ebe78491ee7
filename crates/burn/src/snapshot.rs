use std::collections;

use crate::histogram;
use crate::totals;

/// Request counts and latencies of one or more hosts at one time.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Snapshot {
    /// Number of hosts that the counts cover.
    pub hosts: u64,
    /// Objectives and latencies by name of the class.
    pub classes: collections::BTreeMap<String, Objective>,
    /// Requests within each of [`crate::Window::ALL`], by class and team.
    pub series: collections::BTreeMap<String, collections::BTreeMap<String, [totals::Totals; 4]>>,
}

/// Objective of a class and the latencies of its requests.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Objective {
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
    /// Times to the first token or, for services, to the answer within the last
    /// hour.
    pub latency: histogram::Histogram,
}

impl Objective {
    /// Returns an objective without latencies.
    pub fn new(attainment: f64) -> Self {
        Self {
            attainment,
            latency: histogram::Histogram::default(),
        }
    }
}

impl Snapshot {
    /// Adds the counts of other hosts. The result does not depend on the order and
    /// grouping of merges; merging a host twice counts it twice. If hosts differ in
    /// the attainment of a class, as while its settings change, the higher one is
    /// used.
    pub fn merge(&mut self, other: &Self) {
        self.hosts = self.hosts.saturating_add(other.hosts);
        for (name, objective) in &other.classes {
            let own = self.classes.entry(name.clone());
            let own = own.or_insert_with(|| Objective::new(objective.attainment));
            own.attainment = own.attainment.max(objective.attainment);
            own.latency.merge(&objective.latency);
        }
        for (class, teams) in &other.series {
            for (team, windows) in teams {
                self.add(class, team, windows);
            }
        }
    }

    /// Returns the requests of all teams of a class within each of
    /// [`crate::Window::ALL`]; zeros for an unknown class.
    pub fn class_totals(&self, class: &str) -> [totals::Totals; 4] {
        let mut sums = [totals::Totals::default(); 4];
        let teams = self.series.get(class);
        for windows in teams.into_iter().flat_map(|teams| teams.values()) {
            sum(&mut sums, windows);
        }
        sums
    }

    pub(crate) fn add(&mut self, class: &str, team: &str, windows: &[totals::Totals; 4]) {
        let teams = self.series.entry(class.to_owned()).or_default();
        sum(teams.entry(team.to_owned()).or_default(), windows);
    }
}

fn sum(sums: &mut [totals::Totals; 4], windows: &[totals::Totals; 4]) {
    for (sum, totals) in sums.iter_mut().zip(windows) {
        sum.add(totals);
    }
}
