//! Answer text whose wholeness can be checked.
//!
//! Token `n` of the answer to the request `tag` is `"tag/n "`, so that a lost,
//! doubled, reordered or foreign token is visible in the text alone.

mod check;
mod verdict;

pub use check::Check;
pub use verdict::Verdict;

/// Returns one token of an answer.
pub fn token(tag: &str, number: u32) -> String {
    format!("{tag}/{number} ")
}

/// Returns the number of tokens of the answer to `tag` within a text.
pub fn count_tokens(tag: &str, text: &str) -> u32 {
    if tag.is_empty() {
        return 0;
    }
    text.matches(&format!("{tag}/")).count() as u32
}

/// Returns the tag with everything but letters, digits, `-` and `_` removed.
pub fn sanitize_tag(tag: &str) -> String {
    tag.chars()
        .filter(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_'))
        .collect()
}
