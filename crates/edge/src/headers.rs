use http::{HeaderName, header};

/// Names of the headers that the router reads and sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Request id, set by the caller and echoed by endpoints.
    pub request_id: HeaderName,
    /// Milliseconds that the receiver has left to answer the request.
    pub deadline_ms: HeaderName,
    /// Id of the endpoint to which the request is addressed. Another process
    /// at the same address refuses it.
    pub endpoint: HeaderName,
    /// Name of the caller's team. Absent on public routes.
    pub team: HeaderName,
    /// Rank of a request at an engine, from 0, the most urgent.
    pub tier: HeaderName,
    /// Signature by which an endpoint marks an answer as its own.
    pub signature: HeaderName,
    /// Present on an answer if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Load of the endpoint: running and waiting requests, slots and, if known,
    /// slowness in percent, separated by commas.
    pub load: HeaderName,
    /// Requests a second that the endpoint takes from all hosts together. Absent if it
    /// states no limit.
    pub limit: HeaderName,
    /// Refusals in a second after which the endpoint falls over. Absent unless it is
    /// brittle.
    pub brittle: HeaderName,
    /// Milliseconds for which the endpoint stays cold; 0 if it is not.
    pub cold: HeaderName,
    /// `1` on an answer of an endpoint that is leaving.
    pub leaving: HeaderName,
    /// The caller's estimate of the tokens of the answer.
    pub expected_tokens: HeaderName,
    /// Number of prompt tokens and the largest number of output tokens,
    /// separated by a comma.
    pub tokens: HeaderName,
    /// Parts of the prompt as `ID:TOKENS`, separated by commas.
    pub prompt: HeaderName,
    /// Id of the last event that the caller of a resumed stream has received.
    pub last_event: HeaderName,
    /// Id of the request that brought the first event of a resumed stream.
    pub origin: HeaderName,
    /// Further headers that callers must not set; they are removed from
    /// requests.
    pub reserved: Vec<HeaderName>,
}

impl Default for Headers {
    /// Returns the names that the router uses where no platform defines others.
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
            limit: name("x-limit"),
            brittle: name("x-brittle"),
            cold: name("x-cold"),
            leaving: name("x-leaving"),
            expected_tokens: name("x-expected-tokens"),
            tokens: name("x-tokens"),
            prompt: name("x-prompt"),
            last_event: name("last-event-id"),
            origin: name("x-resumes"),
            reserved: Vec::new(),
        }
    }
}

/// Hop-by-hop headers, which concern one connection only.
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

/// Removes the hop-by-hop headers and those that `Connection` names.
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

/// Returns a header as a number, or `None` if it is absent or malformed.
pub(crate) fn number(headers: &http::HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns a header as text, or `None` if it is absent or not ASCII.
pub(crate) fn text<'a>(headers: &'a http::HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
