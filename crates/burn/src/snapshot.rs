use std::collections;

use crate::histogram;
use crate::totals;

/// What one or more hosts counted.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Snapshot {
    /// Number of hosts.
    pub hosts: u64,
    /// Classes by name.
    pub classes: collections::BTreeMap<String, Objective>,
    /// Requests within each of [`crate::Window::ALL`], by class and team.
    pub series: collections::BTreeMap<String, collections::BTreeMap<String, [totals::Totals; 4]>>,
}

/// A class with its objective and its latencies.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Objective {
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
    /// Times to the first token within the last hour.
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
    /// Adds what other hosts counted. The result does not depend on the order
    /// and grouping of merges; merging a host twice counts it twice. Where
    /// hosts differ about the attainment of a class, because its settings are
    /// changing, the higher one holds.
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

    /// Returns the requests of all teams of a class within each window.
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
