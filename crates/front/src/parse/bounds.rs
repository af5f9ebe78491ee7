use answer::{Kind, Refusal};

use crate::options;

/// Checks that the head of a request is within the limits.
///
/// # Errors
///
/// Refuses a URI or headers above their limits.
pub fn bounds(
    uri: &http::Uri,
    headers: &http::HeaderMap,
    options: &options::Options,
) -> Result<(), Refusal> {
    let above = |what: &str, limit: u64, unit: &str| {
        let text = format!("{what} above the limit of {limit} {unit}");
        Err(Refusal::new(Kind::HeaderTooLarge, text))
    };
    let length = uri.path().len() + uri.query().map_or(0, |query| query.len() + 1);
    if length > options.uri_bytes_max {
        return above("the URI is", options.uri_bytes_max as u64, "bytes");
    }
    if headers.len() > options.header_count_max {
        let limit = options.header_count_max as u64;
        return above("the headers are", limit, "fields");
    }
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size as u64 > options.header_bytes_max {
        return above("the headers are", options.header_bytes_max, "bytes");
    }
    Ok(())
}
