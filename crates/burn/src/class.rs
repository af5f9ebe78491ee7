/// What a book needs to know about one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
}
