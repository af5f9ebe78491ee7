/// What a check of an answer found.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// Every token is there once, in order.
    Whole,
    /// The answer ends before its last token.
    Truncated,
    /// The answer has more tokens than expected.
    Excess,
    /// A token is missing between others.
    Missing,
    /// A token came twice or late.
    Duplicated,
    /// A token belongs to another request.
    Foreign,
}
