use crate::measure::table::Table;

/// Statistics of one figure over all seeds.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Row {
    /// Median of the values.
    pub median: f64,
    /// Smallest value.
    pub least: f64,
    /// Largest value.
    pub most: f64,
}

/// Figures of one policy over all seeds.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Summary {
    /// Name of the policy.
    pub policy: &'static str,
    /// Figures of each seed, in the order of the runs.
    pub seeds: Vec<Table>,
}

impl Summary {
    /// Returns the names of all figures in the order of their first occurrence.
    pub fn names(&self) -> Vec<&str> {
        let names = self.seeds.iter().flat_map(Table::names);
        names
            .collect::<indexmap::IndexSet<_>>()
            .into_iter()
            .collect()
    }

    /// Returns the median and the range of a figure over the seeds that have it, or `None` if
    /// none has it.
    pub fn row(&self, name: &str) -> Option<Row> {
        let values = self.seeds.iter().filter_map(|table| table.get(name));
        let mut values: Vec<_> = values.collect();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        let upper = *values.get(middle)?;
        let lower = values[(values.len() - 1) / 2];
        Some(Row {
            median: f64::midpoint(lower, upper),
            least: values[0],
            most: values[values.len() - 1],
        })
    }
}
