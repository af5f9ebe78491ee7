use core::time;

use answer::{Kind, Refusal, RunState};
use bytes::Bytes;

use crate::record;
use crate::stored;
use crate::terms;

/// Encodes a request for the host that may dispatch it.
pub(crate) fn pack_request(request: &front::Request, terms: &terms::Terms, key: &str) -> wire::Run {
    let (prefix, name) = match &request.target {
        front::Target::Model { model, .. } => (MODEL, model),
        front::Target::Service { name, .. } => (SERVICE, name),
    };
    wire::Run {
        request: wire::Request {
            method: request.method.to_string(),
            path: format!("{prefix}{name}\n{}", request.target.endpoint_path()),
            headers: pack_headers(&request.headers),
            body: request.body.to_vec(),
        },
        class: terms.class.to_string(),
        team: terms.team,
        caller: terms.caller,
        key: key.to_owned(),
        fingerprint: request.fingerprint,
        request_time_ms: request.request_time_ms,
        budget_ms: terms.deadline.as_millis() as u64,
    }
}

/// Prefix of the encoded target of a model; its name and a line feed follow.
const MODEL: &str = "model ";
/// Prefix of the encoded target of a service; its name and a line feed follow.
const SERVICE: &str = "service ";

/// Decodes a request that another host forwarded.
///
/// # Errors
///
/// Refuses a request that cannot be decoded with `OutcomeUnknown`, because an
/// earlier attempt may have run.
pub(crate) fn unpack_request(
    run: wire::Run,
    settings: &conf::Settings,
) -> Result<(front::Request, terms::Terms, String), Refusal> {
    let class = settings
        .classes
        .get(&run.class)
        .ok_or_else(|| outcome_unknown("the class is not known to the owner"))?;
    let target =
        parse_target(&run.request.path).ok_or_else(|| outcome_unknown("the path is not valid"))?;
    let method = http::Method::from_bytes(run.request.method.as_bytes())
        .map_err(|_| outcome_unknown("the method is not valid"))?;
    let body = Bytes::from(run.request.body);
    let is_stream = matches!(target, front::Target::Model { .. }) && asks_for_stream(&body);
    let terms = terms::Terms {
        class: run.class.as_str().into(),
        tier: class.tier,
        team: run.team,
        caller: run.caller,
        deadline: time::Duration::from_millis(run.budget_ms),
        is_idempotent: false,
        trace: record::Trace::default(),
    };
    let request = front::Request {
        id: format!("{:016x}", rand::random::<u64>()),
        address: core::net::IpAddr::V4(core::net::Ipv4Addr::UNSPECIFIED),
        bearer: None,
        target,
        method,
        headers: unpack_headers(run.request.headers),
        is_stream,
        max_tokens: None,
        prompt_tokens: 0,
        prefix_hash: 0,
        fingerprint: run.fingerprint,
        deadline: None,
        idempotency_key: Some(run.key.clone()),
        request_time_ms: run.request_time_ms,
        is_idempotent: Some(false),
        body,
    };
    Ok((request, terms, run.key))
}

/// Encodes the outcome of a run.
pub(crate) fn pack_outcome(ended: stored::Outcome) -> wire::Outcome {
    match ended {
        Ok(answer) => wire::Outcome::Answer(wire::Answer {
            status: answer.status.as_u16(),
            headers: pack_headers(&answer.headers),
            body: answer.body.to_vec(),
        }),
        Err(refusal) => wire::Outcome::Refusal(wire::Refusal {
            kind: refusal.kind.entry().name.to_owned(),
            message: refusal.message,
            retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
            wait_ms: 0,
        }),
    }
}

/// Returns whether a forwarded run has no outcome because its link failed, so that the
/// other host may still be running it.
pub(crate) const fn is_link_failure(outcome: &Result<wire::Outcome, peer::Error>) -> bool {
    match outcome {
        Ok(_) => false,
        Err(cause) => !matches!(
            cause.cause(),
            peer::Cause::Encode(_)
                | peer::Cause::Decode(_)
                | peer::Cause::Failed
                | peer::Cause::Stopped
        ),
    }
}

/// Decodes the outcome of a forwarded run. `is_lost` states whether the link failed
/// when it may have been sent already.
///
/// # Errors
///
/// Returns the other host's refusal. If the link failed, the refusal is
/// `OwnerUnreachable` for a request that was not sent, `OutcomeUnknown` otherwise.
pub(crate) fn unpack_outcome(
    outcome: Result<wire::Outcome, peer::Error>,
    is_lost: bool,
) -> stored::Outcome {
    let is_link_failure = outcome.is_err();
    match decode(outcome) {
        // A copy that was sent earlier may have run, or may still arrive.
        Err(refusal) if is_lost && (is_link_failure || refusal.run_state() == RunState::NotRun) => {
            Err(Refusal {
                kind: Kind::OutcomeUnknown,
                ..refusal
            })
        }
        outcome => outcome,
    }
}

fn decode(outcome: Result<wire::Outcome, peer::Error>) -> stored::Outcome {
    match outcome {
        Ok(wire::Outcome::Answer(answer)) => Ok(stored::Answer {
            status: http::StatusCode::from_u16(answer.status)
                .unwrap_or(http::StatusCode::BAD_GATEWAY),
            headers: unpack_headers(answer.headers),
            body: Bytes::from(answer.body),
            queued: time::Duration::ZERO,
        }),
        Ok(wire::Outcome::Refusal(refusal)) => Err(Refusal {
            // A kind that only a newer version defines leaves the outcome unknown.
            kind: Kind::from_name(&refusal.kind).unwrap_or(Kind::OutcomeUnknown),
            message: refusal.message,
            retry_after: refusal.retry_after_ms.map(time::Duration::from_millis),
        }),
        Err(cause @ peer::Error::NotSent(_)) => Err(Refusal::new(
            Kind::OwnerUnreachable,
            format!("the owner of the key cannot be reached: {cause}"),
        )),
        Err(cause @ peer::Error::Lost(_)) => Err(Refusal::new(
            Kind::OutcomeUnknown,
            format!("the link to the owner of the key failed: {cause}"),
        )),
    }
}

fn parse_target(text: &str) -> Option<front::Target> {
    let (pool, path) = text.split_once('\n')?;
    if let Some(name) = pool.strip_prefix(SERVICE) {
        return Some(front::Target::Service {
            name: name.to_owned(),
            path: path.to_owned(),
        });
    }
    let model = pool.strip_prefix(MODEL)?.to_owned();
    let path = front::MODEL_PATHS
        .into_iter()
        .find(|known| *known == path)?;
    Some(front::Target::Model { path, model })
}

fn asks_for_stream(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Body {
        #[serde(default)]
        stream: bool,
    }
    serde_json::from_slice::<Body>(body).is_ok_and(|body| body.stream)
}

fn outcome_unknown(text: &str) -> Refusal {
    Refusal::new(Kind::OutcomeUnknown, text)
}

fn pack_headers(headers: &http::HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

fn unpack_headers(packed: Vec<(String, Vec<u8>)>) -> http::HeaderMap {
    let mut headers = http::HeaderMap::new();
    for (name, value) in packed {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        let value = http::HeaderValue::from_bytes(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
