use crate::headers;

/// Classification of an answer by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answered {
    /// The endpoint's own answer, which is passed on.
    Own,
    /// A failure of the endpoint that leaves open whether the request ran.
    Failed,
    /// The endpoint did not run the request.
    NotRun,
    /// Another process listens at the address; the request did not run.
    Misdirected,
    /// The answer does not belong to this request or was altered on the way.
    Foreign,
}

/// Classifies the head of an answer to the request with this id.
///
/// On a connection that has carried another request, the endpoint must repeat the
/// id: an answer without it may be a late copy of an earlier one.
pub(crate) fn classify<B>(
    names: &headers::Headers,
    response: &http::Response<B>,
    id: Option<&http::HeaderValue>,
    is_reused: bool,
) -> Answered {
    let headers = response.headers();
    let status = response.status();
    let echoed = headers.get(&names.request_id);
    if (echoed.is_some() || is_reused) && echoed != id {
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

/// Returns whether callers may conclude from the status that the request did
/// not run.
pub(crate) fn promises_not_run(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
