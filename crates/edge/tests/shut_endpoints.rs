//! Tests of endpoints that leave, or that ask a host to pause.

mod common;

use std::sync;
use std::sync::atomic;

use base::mutex;
use common::endpoint::{self, Step};
use rstest::rstest;
use tokio::time::Instant;

/// Time after an answer in which requests on their way may still arrive.
const ON_THE_WAY_MS: u64 = 500;

/// What an endpoint answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Sound,
    /// Sound answers that say that the endpoint is leaving.
    Leaving,
    /// Refusals of what has not run, with a time to come back.
    Refusing(&'static str),
}

/// An endpoint whose answers change.
struct Changing {
    endpoint: endpoint::Endpoint,
    mode: sync::Arc<sync::Mutex<Mode>>,
    arrivals: sync::Arc<sync::Mutex<Vec<Instant>>>,
    /// Whether it closes connections after each answer without saying so.
    closes: sync::Arc<atomic::AtomicBool>,
}

impl Changing {
    async fn start(id: &str) -> Self {
        let mode = sync::Arc::new(sync::Mutex::new(Mode::Sound));
        let arrivals: sync::Arc<sync::Mutex<Vec<Instant>>> = sync::Arc::default();
        let closes: sync::Arc<atomic::AtomicBool> = sync::Arc::default();
        let (now, log, close) = (mode.clone(), arrivals.clone(), closes.clone());
        let script = move |request: &endpoint::Request| {
            mutex::lock(&log).push(Instant::now());
            let mode = *mutex::lock(&now);
            let mut steps = answer(request, mode);
            if close.load(atomic::Ordering::SeqCst) {
                steps.push(Step::Close);
            }
            steps
        };
        Self {
            endpoint: endpoint::Endpoint::start(id, script).await,
            mode,
            arrivals,
            closes,
        }
    }

    fn set(&self, mode: Mode) {
        *mutex::lock(&self.mode) = mode;
    }

    /// Returns the number of requests that arrived in this time.
    fn count(&self, from: Instant, to: Instant) -> usize {
        let arrivals = mutex::lock(&self.arrivals);
        arrivals.iter().filter(|at| (from..to).contains(at)).count()
    }
}

fn answer(request: &endpoint::Request, mode: Mode) -> Vec<Step> {
    let leaving = match mode {
        Mode::Leaving => "x-leaving: 1\r\n",
        _ => "",
    };
    if let Mode::Refusing(after) = mode {
        let extra = format!("x-not-run: 1\r\nretry-after: {after}\r\n");
        return vec![Step::Bytes(endpoint::text(request, 503, &extra, ""))];
    }
    if request.head.starts_with("POST /l") {
        let Step::Bytes(head) = endpoint::stream_head(request) else {
            return Vec::new();
        };
        let head = head.replacen("x-signature", &format!("{leaving}x-signature"), 1);
        let event = |id| endpoint::chunk(&endpoint::event(id));
        return vec![
            Step::Bytes(head),
            event(1),
            Step::Pause(common::ms(150)),
            event(2),
            endpoint::stream_end(),
        ];
    }
    let extra = format!("x-signature: s\r\n{leaving}");
    vec![
        Step::Pause(common::ms(20)),
        Step::Bytes(endpoint::text(request, 200, &extra, "x")),
    ]
}

type Statuses = sync::Arc<sync::Mutex<Vec<(u16, bool)>>>;

async fn keep_calling(host: sync::Arc<edge::Host>, caller: usize, path: &str, log: Statuses) {
    let method = if path == "/look/a" { "GET" } else { "POST" };
    for round in 0.. {
        let text = common::request(method, path, &format!("c{caller}-{round}"), "", "");
        let answer = common::call(&host, &text).await;
        mutex::lock(&log).push((answer.status, answer.is_whole));
        tokio::time::sleep(common::ms(10)).await;
    }
}

fn start_callers(
    host: &sync::Arc<edge::Host>,
    path: &'static str,
) -> (Statuses, tokio::task::JoinSet<()>) {
    let log = Statuses::default();
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..24 {
        callers.spawn(keep_calling(host.clone(), caller, path, log.clone()));
    }
    (log, callers)
}

// Guards against requests that reach an endpoint long after an answer of it has said
// that it is leaving, on any way to it: connections that are opened for each request,
// kept, or closed by the endpoint, and streams.
#[rstest]
#[case::new_connections("/book/a", false, false)]
#[case::kept_connections("/look/a", false, false)]
#[case::connections_that_it_closes("/look/a", true, false)]
#[case::streams("/live/a", false, false)]
#[case::streams_that_may_go_on("/long/a", false, false)]
#[case::a_host_that_is_cut_off("/look/a", false, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_that_says_that_it_is_leaving_gets_no_requests(
    #[case] path: &'static str,
    #[case] closes: bool,
    #[case] is_cut_off: bool,
) {
    let leaving = Changing::start("e0").await;
    let other = Changing::start("e1").await;
    leaving.closes.store(closes, atomic::Ordering::SeqCst);
    let host = common::host(&[&leaving.endpoint, &other.endpoint]).await;
    if is_cut_off {
        host.mark_platform_unreachable("test");
    }
    let (log, mut callers) = start_callers(&host, path);
    tokio::time::sleep(common::ms(500)).await;
    let begun = Instant::now();
    assert!(leaving.count(begun - common::ms(400), begun) > 5);
    leaving.set(Mode::Leaving);
    let from = begun + common::ms(ON_THE_WAY_MS);
    tokio::time::sleep(common::ms(1_500)).await;
    let late = leaving.count(from, Instant::now());
    // The entry of the same process, which still says that it is up, changes nothing.
    common::list(&host, &[&leaving.endpoint, &other.endpoint], 2);
    tokio::time::sleep(common::ms(500)).await;
    let later = leaving.count(from, Instant::now());
    callers.shutdown().await;
    assert_eq!((late, later), (0, 0), "requests after the answer");
    let log = mutex::lock(&log);
    let failed = log.iter().filter(|served| **served != (200, true)).count();
    assert_eq!(failed, 0, "of {} requests", log.len());
}

// Guards against a new process at the address of one that left, which gets nothing.
#[tokio::test]
async fn a_new_process_at_the_same_address_is_not_leaving() {
    let only = Changing::start("e0").await;
    let host = common::host(&[&only.endpoint]).await;
    let look = |id: &str| common::request("GET", "/look/a", id, "", "");
    only.set(Mode::Leaving);
    assert_eq!(common::call(&host, &look("1")).await.status, 200);
    let refused = common::call(&host, &look("2")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    only.set(Mode::Sound);
    let next = plan::Endpoint {
        started_ms: 2,
        ..only.endpoint.listed()
    };
    let entries = vec![(next.id.clone(), edge::Entry::Endpoint(next), 2)];
    host.update_endpoints(|now, registry| registry.replace(now, entries, 2));
    assert_eq!(common::call(&host, &look("3")).await.status, 200);
}

// Guards against requests that reach an endpoint while it wants nothing from a host,
// and against all of them coming back at once.
#[rstest]
#[case::new_connections("/book/a")]
#[case::kept_connections("/look/a")]
#[case::streams("/live/a")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_that_asks_for_a_pause_gets_one(#[case] path: &'static str) {
    let pausing = Changing::start("e0").await;
    let other = Changing::start("e1").await;
    let host = common::host(&[&pausing.endpoint, &other.endpoint]).await;
    let (log, mut callers) = start_callers(&host, path);
    tokio::time::sleep(common::ms(1_000)).await;
    let begun = Instant::now();
    let before = pausing.count(begun - common::ms(1_000), begun);
    pausing.set(Mode::Refusing("1.75"));
    tokio::time::sleep(common::ms(300)).await;
    pausing.set(Mode::Sound);
    tokio::time::sleep(common::ms(3_700)).await;
    callers.shutdown().await;
    let at = |ms| begun + common::ms(ms);
    // The first refusal was sent within the first milliseconds.
    let during = pausing.count(at(ON_THE_WAY_MS), at(1_750));
    let first = pausing.count(at(1_750), at(2_750));
    let after = pausing.count(at(3_000), at(4_000));
    assert!(during <= 2, "{during} requests in the pause");
    assert!(
        first <= before,
        "{first} in the first second, {before} before"
    );
    assert!(
        after > before / 3,
        "{after} a second afterwards, {before} before"
    );
    let log = mutex::lock(&log);
    let failed = log.iter().filter(|served| **served != (200, true)).count();
    assert_eq!(failed, 0, "of {} requests", log.len());
}

// Guards against callers that are not told when to come back while all endpoints of
// a route pause, and against refusals that are not true.
#[tokio::test]
async fn a_request_is_refused_until_an_endpoint_takes_requests_again() {
    let endpoints = [Changing::start("e0").await, Changing::start("e1").await];
    let host = common::host(&[&endpoints[0].endpoint, &endpoints[1].endpoint]).await;
    endpoints[0].set(Mode::Refusing("3"));
    endpoints[1].set(Mode::Refusing("1"));
    let book = |id: &str| common::request("POST", "/book/a", id, "", "x");
    let first = common::call(&host, &book("1")).await;
    assert!([429, 503].contains(&first.status), "{first:?}");
    let begun = Instant::now();
    let sent: usize = endpoints.iter().map(|one| one.endpoint.count()).sum();
    let second = common::call(&host, &book("2")).await;
    assert!(begun.elapsed() < common::ms(200), "refused early");
    let now: usize = endpoints.iter().map(|one| one.endpoint.count()).sum();
    assert_eq!((sent, now), (2, 2));
    let after: f64 = second
        .header("retry-after")
        .and_then(|after| after.parse().ok())
        .expect("when to come back");
    assert!((0.8..=1.5).contains(&after), "{after}");
    for endpoint in &endpoints {
        endpoint.set(Mode::Sound);
    }
    tokio::time::sleep(common::ms((after * 1_000.0) as u64)).await;
    let third = common::call(&host, &book("3")).await;
    assert_eq!(third.status, 200, "{third:?}");
}

// Guards against values that stop an endpoint for good, or that are taken for a pause.
#[rstest]
#[case::zero("0", 2)]
#[case::no_number("soon", 2)]
#[case::negative("-1", 2)]
#[case::not_a_number("NaN", 2)]
#[case::fraction("0.25", 1)]
#[case::very_long("1e300", 1)]
#[tokio::test]
async fn only_a_number_above_zero_is_a_pause(#[case] after: &'static str, #[case] sent: usize) {
    let only = Changing::start("e0").await;
    let host = common::host(&[&only.endpoint]).await;
    only.set(Mode::Refusing(after));
    for id in ["1", "2"] {
        let look = common::request("GET", "/look/a", id, "", "");
        let refused = common::call(&host, &look).await;
        assert!([429, 503].contains(&refused.status), "{refused:?}");
        // Longer than an endpoint without room is avoided.
        tokio::time::sleep(common::ms(200)).await;
    }
    assert_eq!(only.endpoint.count(), sent);
}
