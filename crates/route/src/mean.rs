/// Exponentially weighted moving mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mean {
    value: Option<f64>,
    weight: f64,
}

impl Mean {
    /// Returns a mean in which the latest observation has the weight `weight`,
    /// between 0 and 1.
    pub(crate) const fn new(weight: f64) -> Self {
        Self {
            value: None,
            weight,
        }
    }

    pub(crate) fn observe(&mut self, value: f64) {
        let old = self.value.unwrap_or(value);
        self.value = Some(old + self.weight * (value - old));
    }

    /// Returns the mean; `None` before the first observation.
    pub(crate) const fn get(&self) -> Option<f64> {
        self.value
    }
}
