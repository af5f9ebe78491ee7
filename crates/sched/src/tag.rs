use std::cmp;

/// Virtual time of weighted fair queueing: served tokens divided by weight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tag(pub(crate) f64);

impl Tag {
    pub(crate) fn later(self, other: Self) -> Self {
        cmp::max(self, other)
    }

    pub(crate) fn plus(self, amount: f64) -> Self {
        Self(self.0 + amount)
    }
}

impl PartialEq for Tag {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}
