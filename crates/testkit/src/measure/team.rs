/// A team of a shape.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    /// Name; the bearer key is `key-` and the name.
    pub name: &'static str,
    /// Index of the class of its requests.
    pub class: usize,
    /// Weight, and its share of the demand of its class.
    pub weight: f64,
}

impl Team {
    /// Returns the bearer key.
    pub fn key(&self) -> String {
        format!("key-{}", self.name)
    }
}
