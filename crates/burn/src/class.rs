/// Settings of a class that a [`crate::Recorder`] needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name, unique among the classes of a recorder.
    pub name: String,
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
}
