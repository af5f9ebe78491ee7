use indexmap::IndexMap;

/// Figures by name, in the order in which they were added.
///
/// A name says the figure, its unit where it has one, and after a dot the class,
/// team or kind that it is about.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
#[serde(transparent)]
pub struct Table(IndexMap<String, f64>);

impl Table {
    /// Sets a figure; one that is not finite is left out.
    pub fn set(&mut self, name: impl Into<String>, value: f64) {
        if value.is_finite() {
            self.0.insert(name.into(), value);
        }
    }

    /// Sets a figure that may be missing.
    pub fn set_some(&mut self, name: impl Into<String>, value: Option<f64>) {
        if let Some(value) = value {
            self.set(name, value);
        }
    }

    /// Adds to a figure that counts.
    pub fn increment(&mut self, name: impl Into<String>) {
        *self.0.entry(name.into()).or_default() += 1.0;
    }

    /// Returns a figure.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }

    /// Returns all names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Adds the figures of another table whose names begin with `filter`, behind a prefix.
    pub fn extend(&mut self, prefix: &str, filter: &str, other: &Self) {
        for (name, value) in &other.0 {
            if name.starts_with(filter) {
                self.set(format!("{prefix}{name}"), *value);
            }
        }
    }
}
