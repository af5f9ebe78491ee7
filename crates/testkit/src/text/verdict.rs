/// Result of the check of an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// Every token is present once and in order.
    Whole,
    /// The answer ends before its last token or without its end marker.
    Truncated,
    /// The answer has more tokens than expected or continues after its end marker.
    Excess,
    /// A token is missing between others.
    Missing,
    /// A token was received twice or out of order.
    Duplicated,
    /// A token belongs to another request.
    Foreign,
}
