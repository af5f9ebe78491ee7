use crate::host;
use crate::job;

/// Lines of a request that is served by its first attempt: routed, picked,
/// answered, begun and finished.
const SERVED_LINES: usize = 5;

/// Starts to write the lines of a request that is about to be sent, unless the
/// budget for served requests is used up. From then on lines are written as
/// decisions are made, so that they exist even if the process is killed.
pub(crate) fn start(host: &host::Host, job: &mut job::Job) {
    let now = host.clock.now();
    if !job.record.is_writing() && host.log_budget.take(now, SERVED_LINES, true) {
        job.record.start_writing(&job.id);
    }
}

/// Counts a request and writes its outcome, after the decisions that led to
/// it. No outcome means that the caller disconnected, or that the host stops.
///
/// Either all lines of a request are written or none. The lines of failures
/// have a budget that served requests cannot use up.
pub(crate) fn write(host: &host::Host, job: &mut job::Job, outcome: Option<&'static str>) {
    let outcome = outcome.unwrap_or(match *host.closing.borrow() {
        true => "host_stopped",
        false => "caller_left",
    });
    let now = host.clock.now();
    let took = now.saturating_sub(job.arrived);
    host.metrics.count(
        "requests",
        &[
            ("route", &job.route.name),
            ("rank", &job.rank.level().to_string()),
            ("outcome", outcome),
        ],
    );
    host.metrics
        .time("request_ms", &[("service", &job.service)], took);
    if !job.record.is_writing() {
        let is_success = outcome == "served" && !job.record.has_lost_attempt();
        if !host
            .log_budget
            .take(now, job.record.pending() + 1, is_success)
        {
            host.metrics.count("log_lines_dropped", &[]);
            return;
        }
        job.record.start_writing(&job.id);
    }
    log::info!(
        target: "request",
        request = job.id.as_str(), step = "finished", outcome = outcome,
        at_ms = took.as_millis() as u64;
        "route={} longest_gap_ms={}", job.route.name, job.longest_gap.as_millis()
    );
}

/// Counts and writes the refusal of a request that was not admitted.
pub(crate) fn refused(host: &host::Host, id: &str, refusal: &answer::Refusal) {
    let name = refusal.kind.entry().name;
    host.metrics.count("refusals", &[("kind", name)]);
    if !host.log_budget.take(host.clock.now(), 1, false) {
        host.metrics.count("log_lines_dropped", &[]);
        return;
    }
    log::info!(
        target: "request",
        request = id, step = "refused", outcome = name;
        "{}", refusal.message
    );
}
