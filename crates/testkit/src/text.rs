//! Answer texts whose completeness can be verified.
//!
//! Token `n` of the answer to the request `tag` is `"tag/n "`, so that a
//! missing, duplicated, reordered or foreign token can be detected from the text alone.

mod check;
mod verdict;

pub use check::Check;
pub use verdict::Verdict;

/// Returns token `number` of the answer to `tag`.
pub fn token(tag: &str, number: u32) -> String {
    format!("{tag}/{number} ")
}

/// Returns how many tokens of the answer to `tag` a text contains; 0 for an empty tag.
pub fn count_tokens(tag: &str, text: &str) -> u32 {
    if tag.is_empty() {
        return 0;
    }
    text.matches(&format!("{tag}/")).count() as u32
}

/// Removes all characters except ASCII letters, digits, `-` and `_` from a tag.
pub fn sanitize_tag(tag: &str) -> String {
    tag.chars()
        .filter(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_'))
        .collect()
}
