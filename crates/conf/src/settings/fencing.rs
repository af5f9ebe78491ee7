/// Whether an endpoint checks fencing numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// The endpoint rejects a request with an older fencing number.
    Checked,
    /// The endpoint ignores fencing numbers.
    Ignored,
}
