use answer::{Kind, Refusal};

use crate::request;

/// Prefix of the paths of plain services.
const SERVICES: &str = "/services/";

/// Parses the URI of a request to a plain service, `/services/{name}/{path}`.
///
/// The path and the query stay percent-encoded as received. A decoded path could
/// gain a query or a line break on its way to the endpoint.
///
/// # Errors
///
/// Refuses a URI without a service name or without a path with
/// [`Kind::NotFound`].
pub fn target(uri: &http::Uri) -> Result<request::Target, Refusal> {
    let named = uri
        .path()
        .strip_prefix(SERVICES)
        .and_then(|rest| rest.split_once('/'));
    match named {
        Some((name, rest)) if !name.is_empty() && !rest.is_empty() => {
            Ok(request::Target::Service {
                name: name.to_owned(),
                path: match uri.query() {
                    Some(query) => format!("/{rest}?{query}"),
                    None => format!("/{rest}"),
                },
            })
        }
        _ => Err(Refusal::new(Kind::NotFound, "no such path")),
    }
}
