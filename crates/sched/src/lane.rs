/// Kind of endpoint slot that a job needs, as an index below [`Lane::COUNT`].
///
/// The owner of the queue defines the meaning of each lane. A job is picked
/// only if its lane is among the given [`Lanes`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lane(u8);

impl Lane {
    /// Number of lanes.
    pub const COUNT: u8 = 4;

    /// Returns the lane with this index, modulo [`Lane::COUNT`].
    pub const fn new(index: u8) -> Self {
        Self(index % Self::COUNT)
    }

    /// Returns the index of the lane.
    pub const fn index(self) -> u8 {
        self.0
    }
}

/// Set of lanes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lanes(u8);

impl Lanes {
    /// No lane.
    pub const NONE: Self = Self(0);
    /// Every lane.
    pub const ALL: Self = Self((1 << Lane::COUNT) - 1);

    /// Returns the set with `lane` added if `present` is `true`.
    #[must_use]
    pub const fn with(self, lane: Lane, present: bool) -> Self {
        if present {
            Self(self.0 | 1 << lane.0)
        } else {
            self
        }
    }

    /// Returns the set without `lane`.
    #[must_use]
    pub const fn without(self, lane: Lane) -> Self {
        Self(self.0 & !(1 << lane.0))
    }

    /// Returns whether `lane` is in the set.
    pub const fn contains(self, lane: Lane) -> bool {
        self.0 & (1 << lane.0) != 0
    }

    /// Returns whether the set is empty.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = Lane> {
        (0..Lane::COUNT)
            .map(Lane)
            .filter(move |&lane| self.contains(lane))
    }
}
