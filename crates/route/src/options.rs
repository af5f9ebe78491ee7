/// Settings of a table.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Output length in tokens above which a request counts as long.
    pub long_tokens: u32,
    /// Share of the slots that long requests may hold, 0 to 1; at least one slot is
    /// always allowed.
    pub long_share: f64,
    /// Seed of the random numbers for tie-breaking and jitter.
    pub seed: u64,
}
