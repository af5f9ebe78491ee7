//! Tests of endpoints that state how many requests a second they take.

mod common;

use std::sync;
use std::sync::atomic;

use base::mutex;
use common::endpoint;
use common::fleet;
use rstest::rstest;
use tokio::time::Instant;

const HOSTS: usize = 9;

/// Callers at each host.
const CALLERS: usize = 2;

/// Time after the first answer with the limit from which it is kept.
const NOTICE_MS: u64 = 3_000;

/// Time over which the requests at an endpoint are counted.
const WINDOW_MS: u64 = 4_000;

/// Returns the most requests that an endpoint may get in the window.
fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW_MS as f64 / 1_000.0 * 1.5) as usize + 5
}

/// An endpoint that can state a limit in its answers.
struct Limited {
    endpoint: endpoint::Endpoint,
    /// Limit in thousandths of a request per second; 0 for none.
    limit: sync::Arc<atomic::AtomicU64>,
    arrivals: sync::Arc<sync::Mutex<Vec<Instant>>>,
}

impl Limited {
    async fn start(id: &str) -> Self {
        let limit = sync::Arc::new(atomic::AtomicU64::new(0));
        let arrivals: sync::Arc<sync::Mutex<Vec<Instant>>> = sync::Arc::default();
        let (stated, log) = (limit.clone(), arrivals.clone());
        let script = move |request: &endpoint::Request| {
            mutex::lock(&log).push(Instant::now());
            let extra = match stated.load(atomic::Ordering::SeqCst) {
                0 => String::new(),
                limit => format!("x-limit: {:.1}\r\n", limit as f64 / 1_000.0),
            };
            let extra = format!("x-signature: s\r\n{extra}");
            let text = endpoint::text(request, 200, &extra, "x");
            vec![
                endpoint::Step::Pause(common::ms(30)),
                endpoint::Step::Bytes(text),
            ]
        };
        Self {
            endpoint: endpoint::Endpoint::start(id, script).await,
            limit,
            arrivals,
        }
    }

    fn state(&self, per_s: f64) {
        let limit = (per_s * 1_000.0) as u64;
        self.limit.store(limit, atomic::Ordering::SeqCst);
    }

    /// Returns the most requests that arrived within a window that begins in this
    /// time.
    fn most(&self, from: Instant, to: Instant) -> usize {
        let arrivals = mutex::lock(&self.arrivals);
        let starts = arrivals.iter().filter(|at| (from..to).contains(at));
        let count = |start: &Instant| {
            let end = *start + common::ms(WINDOW_MS);
            let within = arrivals.iter().filter(|at| (*start..end).contains(at));
            within.count()
        };
        starts.map(count).max().unwrap_or(0)
    }

    fn count_since(&self, from: Instant) -> usize {
        let arrivals = mutex::lock(&self.arrivals);
        arrivals.iter().filter(|at| **at >= from).count()
    }
}

type Statuses = sync::Arc<sync::Mutex<Vec<u16>>>;

async fn keep_calling(host: sync::Arc<edge::Host>, caller: usize, path: &str, log: Statuses) {
    for round in 0.. {
        let text = common::request("GET", path, &format!("c{caller}-{round}"), "", "");
        let answer = common::call(&host, &text).await;
        mutex::lock(&log).push(answer.status);
        tokio::time::sleep(common::ms(100)).await;
    }
}

async fn start_fleet(net: u8, endpoints: &[&endpoint::Endpoint]) -> Vec<sync::Arc<edge::Host>> {
    let hosts = fleet::start_hosts([80, net], HOSTS).await;
    for host in &hosts {
        common::list(host, endpoints, 1);
        host.confirm_plan();
    }
    tokio::time::sleep(common::ms(1_000)).await;
    hosts
}

fn start_callers(
    hosts: &[sync::Arc<edge::Host>],
    path: &'static str,
) -> (Statuses, tokio::task::JoinSet<()>) {
    let log = Statuses::default();
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..HOSTS * CALLERS {
        let host = hosts[caller % HOSTS].clone();
        callers.spawn(keep_calling(host, caller, path, log.clone()));
    }
    (log, callers)
}

// Guards against an endpoint that gets more requests than it says that it takes,
// because each host ignores its limit or keeps it for itself.
#[rstest]
#[case::one_a_second(0, 1.0, "/look/a")]
#[case::two_and_a_half_a_second(1, 2.5, "/look/a")]
#[case::less_than_one_a_second(2, 0.4, "/look/a")]
#[case::work_that_may_run_once(3, 2.0, "/book/a")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_keep_the_limit_of_an_endpoint_together(
    #[case] net: u8,
    #[case] per_s: f64,
    #[case] path: &'static str,
) {
    let limited = Limited::start("e0").await;
    let others = [Limited::start("e1").await, Limited::start("e2").await];
    let endpoints = [&limited.endpoint, &others[0].endpoint, &others[1].endpoint];
    let hosts = start_fleet(net, &endpoints).await;
    let (log, mut callers) = start_callers(&hosts, path);
    tokio::time::sleep(common::ms(1_000)).await;
    let before = limited.count_since(Instant::now() - common::ms(1_000));
    assert!(before > 10, "{before} requests in the second before");
    limited.state(per_s);
    let stated = Instant::now();
    let from = stated + common::ms(NOTICE_MS);
    tokio::time::sleep(common::ms(NOTICE_MS + WINDOW_MS + 1_500)).await;
    let most = limited.most(from, Instant::now());
    let statuses = core::mem::take(&mut *mutex::lock(&log));
    let refused = statuses.iter().filter(|&&status| status != 200).count();
    // The limit ends with an answer that does not state it.
    limited.state(0.0);
    tokio::time::sleep(common::ms(9_000)).await;
    let after = limited.count_since(Instant::now() - common::ms(1_000));
    callers.shutdown().await;
    assert!(
        most <= allowed(per_s),
        "{most} requests in 4 s at {per_s} a second"
    );
    assert_eq!(refused, 0, "of {}, while others have room", statuses.len());
    assert!(
        after > before / 2,
        "{after} requests in a second afterwards"
    );
}

// Guards against callers that wait in vain, or are told nothing, where every
// endpoint states a limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_beyond_the_limits_of_all_endpoints_are_refused_as_not_run() {
    let limited = [Limited::start("e0").await, Limited::start("e1").await];
    let hosts = start_fleet(9, &[&limited[0].endpoint, &limited[1].endpoint]).await;
    let (log, mut callers) = start_callers(&hosts, "/book/a");
    for endpoint in &limited {
        endpoint.state(5.0);
    }
    let from = Instant::now() + common::ms(NOTICE_MS);
    tokio::time::sleep(common::ms(NOTICE_MS)).await;
    mutex::lock(&log).clear();
    tokio::time::sleep(common::ms(WINDOW_MS + 1_500)).await;
    let most = limited.each_ref().map(|one| one.most(from, Instant::now()));
    let text = common::request("POST", "/book/a", "last", "", "x");
    let mut refused = None;
    for _ in 0..20 {
        let answer = common::call(&hosts[0], &text).await;
        if answer.status != 200 {
            refused = Some(answer);
            break;
        }
    }
    callers.shutdown().await;
    let statuses = mutex::lock(&log).clone();
    let served = statuses.iter().filter(|&&status| status == 200).count();
    let truthful = statuses
        .iter()
        .filter(|&&status| [429, 503].contains(&status));
    assert_eq!(served + truthful.count(), statuses.len(), "{statuses:?}");
    assert!(most.iter().all(|&most| most <= allowed(5.0)), "{most:?}");
    // Nearly all of what the endpoints take is used.
    assert!(served >= 35, "{served} served in 5.5 s at 10 a second");
    let refused = refused.expect("a refusal among 20 requests at once");
    let after: f64 = refused
        .header("retry-after")
        .and_then(|after| after.parse().ok())
        .expect("when to come back");
    assert!(after > 0.0 && after <= 5.0, "{after}");
}
