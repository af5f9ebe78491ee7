use crate::headers;

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answered {
    /// The endpoint's own answer, to be passed on.
    Own,
    /// A failure of the endpoint, which says nothing on whether the work ran.
    Failed,
    /// The endpoint did not run the request.
    NotRun,
    /// Another process has the address; nothing ran.
    Misdirected,
    /// Not an answer to this request.
    Foreign,
}

/// Judges the head of an answer to the request with this identity.
pub(crate) fn judge<B>(
    names: &headers::Headers,
    response: &http::Response<B>,
    id: Option<&http::HeaderValue>,
) -> Answered {
    let headers = response.headers();
    let status = response.status();
    let echoed = headers.get(&names.request_id);
    if echoed.is_some() && echoed != id {
        return Answered::Foreign;
    }
    if status == http::StatusCode::MISDIRECTED_REQUEST {
        return Answered::Misdirected;
    }
    if headers.contains_key(&names.not_run) {
        return Answered::NotRun;
    }
    let is_signed = headers.contains_key(&names.signature);
    let is_encoded = headers.contains_key(http::header::CONTENT_ENCODING);
    if status.is_success() {
        return if is_signed && !is_encoded {
            Answered::Own
        } else {
            Answered::Foreign
        };
    }
    if status.is_server_error() || !is_signed || promises_not_run(status) {
        return Answered::Failed;
    }
    Answered::Own
}

/// Returns whether callers take the status for the promise that the request
/// did not run.
pub(crate) fn promises_not_run(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
