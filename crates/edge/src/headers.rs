use http::{HeaderName, header};

/// Names of the headers that the router reads and sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identity of a request, set by the caller and echoed by endpoints.
    pub request_id: HeaderName,
    /// Milliseconds for which the receiver may work on the request.
    pub deadline_ms: HeaderName,
    /// Endpoint for which an order is meant.
    pub endpoint: HeaderName,
    /// Team of the caller.
    pub team: HeaderName,
    /// Rank of a request at an engine; 0 is the most urgent.
    pub tier: HeaderName,
    /// Signature of an endpoint under its answer.
    pub signature: HeaderName,
    /// Says that the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Load of the endpoint: running, waiting, slots and, if known, slowness
    /// in percent, separated by commas.
    pub load: HeaderName,
    /// The caller's estimate of the tokens of the answer.
    pub expected_tokens: HeaderName,
    /// Prompt tokens and most output tokens, separated by a comma.
    pub tokens: HeaderName,
    /// Parts of the prompt as `ID:TOKENS`, separated by commas.
    pub prompt: HeaderName,
    /// Last event that the caller of a resumed stream has.
    pub last_event: HeaderName,
    /// Headers that are the router's to set; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

impl Default for Headers {
    /// Returns the router's own names.
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name("x-request-id"),
            deadline_ms: name("request-deadline"),
            endpoint: name("x-endpoint"),
            team: name("x-team"),
            tier: name("x-tier"),
            signature: name("x-signature"),
            not_run: name("x-not-run"),
            load: name("x-load"),
            expected_tokens: name("x-expected-tokens"),
            tokens: name("x-tokens"),
            prompt: name("x-prompt"),
            last_event: name("last-event-id"),
            reserved: Vec::new(),
        }
    }
}

/// Headers that concern one connection only.
const CONNECTION: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that concern one connection only, and those that
/// `Connection` names.
pub(crate) fn strip_connection(headers: &mut http::HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION) {
        headers.remove(name);
    }
    headers.remove("proxy-connection");
}

/// Returns a header as a number.
pub(crate) fn number(headers: &http::HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns a header as text.
pub(crate) fn text<'a>(headers: &'a http::HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
