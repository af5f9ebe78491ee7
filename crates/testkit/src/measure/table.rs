use indexmap::IndexMap;

/// Figures by name, in insertion order.
///
/// A name consists of the figure, its unit if it has one and, after a dot, the class, team
/// or kind to which it applies.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
#[serde(transparent)]
pub struct Table(IndexMap<String, f64>);

impl Table {
    /// Sets a figure; values that are not finite are ignored.
    pub fn set(&mut self, name: impl Into<String>, value: f64) {
        if value.is_finite() {
            self.0.insert(name.into(), value);
        }
    }

    /// Sets a figure if there is a value.
    pub fn set_some(&mut self, name: impl Into<String>, value: Option<f64>) {
        if let Some(value) = value {
            self.set(name, value);
        }
    }

    /// Adds 1 to a count, which starts at 0.
    pub fn increment(&mut self, name: impl Into<String>) {
        *self.0.entry(name.into()).or_default() += 1.0;
    }

    /// Returns a figure, or `None` if it was not set.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }

    /// Returns the names of all figures in insertion order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Adds the figures of another table whose names begin with `filter`. Their names are
    /// prepended with `prefix`.
    pub fn extend(&mut self, prefix: &str, filter: &str, other: &Self) {
        for (name, value) in &other.0 {
            if name.starts_with(filter) {
                self.set(format!("{prefix}{name}"), *value);
            }
        }
    }
}
