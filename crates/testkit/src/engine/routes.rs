use std::sync;

use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use futures_util::stream;
use serde_json::json;
use tokio::sync::mpsc;

use crate::engine::answer::{Answer, Style};
use crate::engine::batch;
use crate::engine::body;
use crate::engine::cache;
use crate::engine::length;
use crate::engine::sequence;
use crate::engine::ticket;
use crate::server;
use crate::sync::lock;
use crate::text;

/// Header with the fencing number of the host that sends the request.
const FENCE_HEADER: &str = "x-fencing-number";

/// Path of the chat completions API.
const CHAT_PATH: &str = "/v1/chat/completions";

type Shared = sync::Arc<batch::Batch>;

pub(crate) fn router(batch: Shared) -> axum::Router {
    axum::Router::new()
        .route(CHAT_PATH, routing::post(serve))
        .route("/v1/completions", routing::post(serve))
        .route("/load", routing::get(load))
        .with_state(batch)
}

async fn load(extract::State(batch): extract::State<Shared>) -> response::Response {
    axum::Json(batch.load()).into_response()
}

async fn serve(
    extract::State(batch): extract::State<Shared>,
    extract::Extension(cut): extract::Extension<server::Cut>,
    uri: http::Uri,
    headers: http::HeaderMap,
    axum::Json(body): axum::Json<body::Body>,
) -> response::Response {
    if batch.options.fencing && !has_current_fencing_number(&batch, &headers) {
        lock(&batch.counters).fenced += 1;
        return refuse(http::StatusCode::CONFLICT, "the fencing number is old");
    }
    let style = if uri.path() == CHAT_PATH {
        Style::Chat
    } else {
        Style::Plain
    };
    let Some(mut answer) = queue(batch, style, &body) else {
        let status = http::StatusCode::SERVICE_UNAVAILABLE;
        return refuse(status, "the engine takes no new requests");
    };
    if body.stream {
        answer.include_usage = body.stream_options.include_usage;
        return events(answer);
    }
    match answer.collect().await {
        Some(value) => axum::Json(value).into_response(),
        None => {
            cut.cut();
            core::future::pending().await
        }
    }
}

/// Returns whether the request has no fencing number or one that is not older than the
/// newest seen.
fn has_current_fencing_number(batch: &batch::Batch, headers: &http::HeaderMap) -> bool {
    let number = headers
        .get(FENCE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    number.is_none_or(|number| batch.accept_fencing_number(number))
}

fn queue(batch: Shared, style: Style, body: &body::Body) -> Option<Answer> {
    let prompt = body.text();
    let prompt_tokens = (prompt.len() / cache::TOKEN_BYTES).max(1) as u32;
    let options = &batch.options;
    let wanted = length::Length::of_seed(&options.lengths, options.seed, body.seed);
    let crash = options.crash.as_ref();
    let crash = crash.filter(|crash| prompt.contains(&crash.marker));
    let (sender, events) = mpsc::unbounded_channel();
    let progress = sync::Arc::<sequence::Progress>::default();
    let tag = text::sanitize_tag(&body.user);
    // A resumed request contains the first part of its answer and receives the rest.
    let resumed_tokens = text::count_tokens(&tag, &prompt);
    let sequence = sequence::Sequence {
        serial: 0,
        tag: tag.clone(),
        priority: body.priority,
        prompt_left: prompt_tokens,
        prompt,
        chunk: 0,
        length: wanted
            .saturating_sub(resumed_tokens)
            .min(body.token_limit())
            .max(1),
        crash_after: crash.map(|crash| crash.after_tokens),
        progress: sync::Arc::clone(&progress),
        sender,
    };
    let serial = batch.queue(sequence)?;
    Some(Answer {
        style,
        model: options.model.clone(),
        tag,
        prompt_tokens,
        include_usage: false,
        is_truncated: wanted.saturating_sub(resumed_tokens) > body.token_limit(),
        resumed_tokens,
        tokens: 0,
        has_ended: false,
        ticket: ticket::Ticket {
            priority: body.priority,
            serial,
            progress,
            events,
            batch,
        },
    })
}

fn events(answer: Answer) -> response::Response {
    let chunks = stream::unfold(answer, |mut answer| async {
        let events = answer.next_events().await?;
        Some((events, answer))
    });
    let body = axum::body::Body::from_stream(chunks);
    ([(http::header::CONTENT_TYPE, "text/event-stream")], body).into_response()
}

fn refuse(status: http::StatusCode, message: &str) -> response::Response {
    (status, axum::Json(json!({"error": {"message": message}}))).into_response()
}
