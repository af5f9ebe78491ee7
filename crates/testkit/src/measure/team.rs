/// Team of a shape.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: &'static str,
    /// Index of the class of the team's requests.
    pub class: usize,
    /// Weight in the router's settings, which also determines the team's share of the demand
    /// of its class.
    pub weight: f64,
}

impl Team {
    /// Returns the bearer key, which is `key-` followed by the name.
    pub fn key(&self) -> String {
        format!("key-{}", self.name)
    }
}
