use answer::{Kind, Refusal};

use crate::options;

/// Checks that the URI and the headers of a request are within the limits of
/// `options`.
///
/// # Errors
///
/// Refuses a URI or headers that exceed a limit with [`Kind::HeaderTooLarge`].
pub fn bounds(
    uri: &http::Uri,
    headers: &http::HeaderMap,
    options: &options::Options,
) -> Result<(), Refusal> {
    let too_large = |what: &str, limit: u64, unit: &str| {
        let text = format!("{what} the limit of {limit} {unit}");
        Err(Refusal::new(Kind::HeaderTooLarge, text))
    };
    let length = uri.path().len() + uri.query().map_or(0, |query| query.len() + 1);
    if length > options.uri_bytes_max {
        return too_large(
            "the request URI exceeds",
            options.uri_bytes_max as u64,
            "bytes",
        );
    }
    if headers.len() > options.header_count_max {
        let limit = options.header_count_max as u64;
        return too_large("the request headers exceed", limit, "fields");
    }
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size as u64 > options.header_bytes_max {
        return too_large(
            "the request headers exceed",
            options.header_bytes_max,
            "bytes",
        );
    }
    Ok(())
}
