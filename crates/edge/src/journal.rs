use crate::host;
use crate::job;

/// Writes the decisions about a request, unless the line budget is used up.
///
/// All lines of a request are kept or none, and failures go before successes.
pub(crate) fn write(host: &host::Host, job: &job::Job, outcome: Option<&'static str>) {
    let outcome = outcome.unwrap_or("caller_left");
    let took = host.clock.now().saturating_sub(job.arrived);
    host.meters.count(
        "requests",
        &[("route", &job.route.name), ("outcome", outcome)],
    );
    host.meters
        .time("request_ms", &[("route", &job.route.name)], took);
    let is_success = outcome == "served" && job.steps.iter().all(|step| step.what != "lost");
    if !host
        .lines
        .take(host.clock.now(), job.steps.len() + 1, is_success)
    {
        host.meters.count("log_lines_dropped", &[]);
        return;
    }
    for step in &job.steps {
        log::info!(
            target: "request",
            request = job.id.as_str(), step = step.what, at_ms = step.at.as_millis() as u64;
            "{}", step.inputs
        );
    }
    log::info!(
        target: "request",
        request = job.id.as_str(), step = "finished", outcome = outcome,
        at_ms = took.as_millis() as u64;
        "route={}", job.route.name
    );
}

/// Writes that a request was refused before it had a route.
pub(crate) fn refused(host: &host::Host, id: &str, refusal: &answer::Refusal) {
    let name = refusal.kind.entry().name;
    host.meters.count("refusals", &[("kind", name)]);
    if !host.lines.take(host.clock.now(), 1, false) {
        host.meters.count("log_lines_dropped", &[]);
        return;
    }
    log::info!(
        target: "request",
        request = id, step = "refused", outcome = name;
        "{}", refusal.message
    );
}
