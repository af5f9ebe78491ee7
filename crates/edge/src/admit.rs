use core::time;

use answer::{Kind, Refusal};
use http::{header, request};
use xxhash_rust::xxh3;

use crate::headers;
use crate::host;
use crate::job;
use crate::record;

/// Retry delay sent to callers while this host has no current configuration.
const NOT_READY_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Finds the route and the team of a request and turns it into a job. The body
/// is empty and the fingerprint covers only the caller's key; both are
/// completed once the body has arrived.
///
/// # Errors
///
/// Refuses a request without a matching route or service, with an unknown key,
/// or before the host has a configuration.
pub(crate) fn admit(host: &host::Host, head: request::Parts) -> Result<job::Job, Refusal> {
    let now = host.clock.now();
    let names = &host.options.headers;
    let table = host.table.load_full().ok_or_else(|| {
        Refusal::new(Kind::NotReady, "the host has no configuration yet")
            .with_retry_after(NOT_READY_RETRY_AFTER)
    })?;
    let authority = head
        .uri
        .authority()
        .map(http::uri::Authority::as_str)
        .or_else(|| headers::text(&head.headers, &header::HOST))
        .unwrap_or_default();
    let Some(route) = table.route(authority, head.uri.path()) else {
        return Err(refuse_unknown(
            host,
            now,
            Kind::NotFound,
            "no route matches this host and path",
        ));
    };
    let key = bearer(&head.headers);
    let team = match table.caller(route, key) {
        plan::Caller::Anonymous => None,
        plan::Caller::Member(team) => Some(team),
        plan::Caller::Unauthenticated => {
            return Err(refuse_unknown(
                host,
                now,
                Kind::UnknownKey,
                "the key is not known",
            ));
        }
    };
    let raw_id = head.headers.get(&names.request_id).cloned();
    let origin = head.headers.get(&names.origin).cloned();
    // A resumed stream goes on in the service that began it.
    let seed = origin.as_ref().or(raw_id.as_ref());
    let seed = seed.map_or(&b""[..], |id| id.as_bytes());
    let Some(service) = table.target(route, seed) else {
        let refusal = Refusal::new(Kind::NoEndpoint, "the route has no service");
        return Err(refusal.with_retry_after(NOT_READY_RETRY_AFTER));
    };
    let requested = headers::number(&head.headers, &names.deadline_ms)
        .map_or(route.timeout, time::Duration::from_millis);
    let caller = caller(&head.headers);
    Ok(job::Job {
        id: job::printable(raw_id.as_ref()),
        raw_id,
        arrived: now,
        due: now + requested.min(route.timeout),
        service: service.to_owned(),
        team: team.map(|team| team.name.clone()),
        rank: table.rank(service, route, team),
        work: work(names, &head.headers),
        fingerprint: caller,
        last_event: headers::number(&head.headers, &names.last_event),
        origin,
        route: route.clone(),
        plan: table.plan().version(),
        headers: forwarded(names, head.headers, team.map(|team| team.name.as_str())),
        method: head.method,
        uri: head.uri,
        body: bytes::Bytes::new(),
        record: record::Record::default(),
        longest_gap: time::Duration::ZERO,
    })
}

/// Returns the hash of the caller's key.
pub(crate) fn caller(headers: &http::HeaderMap) -> u64 {
    xxh3::xxh3_64(bearer(headers).unwrap_or_default().as_bytes())
}

/// Returns the hash that identifies requests with the same caller key, path,
/// query and body. It is never zero.
pub(crate) fn fingerprint(caller: u64, uri: &http::Uri, body: &[u8]) -> u64 {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let seed = xxh3::xxh3_64_with_seed(path.as_bytes(), caller);
    // Zero stands for requests that are never quarantined.
    xxh3::xxh3_64_with_seed(body, seed).max(1)
}

/// Returns a permanent refusal only while the configuration is known to be
/// current. A host whose configuration was not confirmed recently may lack a
/// new route or key, so it asks the caller to retry.
fn refuse_unknown(host: &host::Host, now: time::Duration, kind: Kind, text: &str) -> Refusal {
    if !host.is_current(now) {
        let age = host.plan_age(now);
        let text = format!("{text}, and the configuration is {} s old", age.as_secs());
        return Refusal::new(Kind::NotReady, text).with_retry_after(NOT_READY_RETRY_AFTER);
    }
    Refusal::new(kind, text)
}

fn bearer(headers: &http::HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the headers for an endpoint: the caller's without the key, the
/// hop-by-hop headers and those that only the router may set.
fn forwarded(
    names: &headers::Headers,
    mut headers: http::HeaderMap,
    team: Option<&str>,
) -> http::HeaderMap {
    headers::strip_connection(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    for name in &names.reserved {
        headers.remove(name);
    }
    headers.remove(&names.endpoint);
    headers.remove(&names.tier);
    headers.remove(&names.team);
    let team = team.and_then(|team| http::HeaderValue::from_str(team).ok());
    if let Some(team) = team {
        headers.insert(names.team.clone(), team);
    }
    headers
}

/// Parses the expected work of a request from its headers. A malformed prompt
/// part ends the list of parts; the engine validates the header itself.
pub(crate) fn work(names: &headers::Headers, headers: &http::HeaderMap) -> steer::Work {
    let mut tokens = headers::text(headers, &names.tokens)
        .unwrap_or_default()
        .split(',')
        .map(|count| count.trim().parse().unwrap_or(0));
    let parts = headers::text(headers, &names.prompt)
        .unwrap_or_default()
        .split(',')
        .map_while(part)
        .collect();
    steer::Work {
        parts,
        prompt_tokens: tokens.next().unwrap_or(0),
        output_tokens_max: tokens.next().unwrap_or(0),
        expected_tokens: headers::number(headers, &names.expected_tokens)
            .map(|expected| u32::try_from(expected).unwrap_or(u32::MAX)),
    }
}

fn part(text: &str) -> Option<steer::Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(steer::Part {
        id: u64::from_str_radix(id, 16).unwrap_or_else(|_| xxh3::xxh3_64(id.as_bytes())),
        tokens: tokens.parse().ok()?,
    })
}
