/// Whether an endpoint checks fencing numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// It refuses an older number.
    Checked,
    /// It ignores the number.
    Ignored,
}
