/// Counts of the requests of a class or a team since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) served: u64,
    /// Refused requests without the shed ones.
    pub(crate) refused: u64,
    pub(crate) shed: u64,
    pub(crate) tokens: u64,
}

impl Tally {
    pub(crate) const fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.refused += other.refused;
        self.shed += other.shed;
        self.tokens += other.tokens;
    }
}
