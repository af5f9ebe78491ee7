/// Maximum number of edits per character of the longer name for which a known
/// name is suggested.
const EDITS_PER_CHARACTER: f64 = 0.4;

/// Returns the known name with the smallest edit distance, if it is similar
/// enough to suggest.
///
/// Of several names at the same distance, the first in byte order is returned, so
/// that the result does not depend on the order of `known`.
pub(crate) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let (edits, best) = known
        .into_iter()
        .map(|other| (strsim::damerau_levenshtein(name, other), other))
        .min()?;
    let length = name.chars().count().max(best.chars().count());
    #[expect(
        clippy::cast_precision_loss,
        reason = "names are far shorter than 2^52 characters"
    )]
    let is_near = edits as f64 <= length as f64 * EDITS_PER_CHARACTER;
    is_near.then(|| best.to_owned())
}
