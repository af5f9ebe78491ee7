//! Report of burn rates, as text, JSON and SVG.

mod level;
mod row;
mod svg;
mod text;

use crate::snapshot;
use crate::totals;

pub use level::Level;
pub use row::{Cell, Row};

/// Maximum number of teams that a report lists per class.
const TEAMS_MAX: usize = 10;

/// Burn rates of every class and of the ten teams per class with the highest burn
/// rate.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Report {
    /// Number of hosts that the report covers.
    pub hosts: u64,
    /// Classes in the order of their names, each followed by its teams in descending
    /// order of their highest burn rate.
    pub rows: Vec<Row>,
}

impl Report {
    /// Returns the report of a snapshot.
    pub fn new(snapshot: &snapshot::Snapshot) -> Self {
        let mut rows = Vec::new();
        for (name, objective) in &snapshot.classes {
            rows.push(Row::new(
                name,
                None,
                objective,
                &snapshot.class_totals(name),
            ));
            rows.extend(teams(snapshot, name, objective));
        }
        Self {
            hosts: snapshot.hosts,
            rows,
        }
    }

    /// Renders a table for terminals, with classes and teams.
    pub fn text(&self) -> String {
        text::render(self)
    }

    /// Renders indented JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails. It does not for reports that
    /// [`Report::new`] returns.
    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// Renders a self-contained SVG chart of the classes, without teams.
    pub fn svg(&self) -> String {
        svg::render(self)
    }
}

fn teams(snapshot: &snapshot::Snapshot, class: &str, objective: &snapshot::Objective) -> Vec<Row> {
    let teams = snapshot.series.get(class);
    let row = |(team, windows): (&String, &[totals::Totals; 4])| {
        Row::new(class, Some(team), objective, windows)
    };
    let mut rows: Vec<_> = teams.into_iter().flatten().map(row).collect();
    rows.sort_by(|a, b| {
        let order = b.peak_burn_rate().total_cmp(&a.peak_burn_rate());
        order.then_with(|| a.team.cmp(&b.team))
    });
    rows.truncate(TEAMS_MAX);
    rows
}
