//! Tests of hosts that cannot reach the endpoints while other hosts can.

mod common;

use std::collections;
use std::sync;

use common::endpoint::{self, Step};
use common::fleet;
use common::link;
use rstest::rstest;
use tokio::time::Instant;

/// Time after the start of a cut from which callers must be served.
const NOTICE_MS: u64 = 3_000;

/// Callers at each host that is cut off, and requests of each.
const CALLERS: usize = 3;
const ROUNDS: usize = 10;

/// Hosts before endpoints, with a link of its own from each host to each endpoint.
struct Site {
    hosts: Vec<sync::Arc<edge::Host>>,
    endpoints: Vec<endpoint::Endpoint>,
    /// Links by host, then by endpoint.
    links: Vec<Vec<link::Link>>,
}

impl Site {
    async fn start(net: u8, hosts: usize, endpoints: usize) -> Self {
        Self::start_with(net, hosts, endpoints, answer).await
    }

    async fn start_with(
        net: u8,
        hosts: usize,
        endpoints: usize,
        script: impl Fn(&endpoint::Request) -> Vec<Step> + Clone + Send + Sync + 'static,
    ) -> Self {
        let mut site = Self {
            hosts: fleet::start_hosts([90, net], hosts).await,
            endpoints: Vec::new(),
            links: Vec::new(),
        };
        for index in 0..endpoints {
            let endpoint = endpoint::Endpoint::start(&format!("e{index}"), script.clone()).await;
            site.endpoints.push(endpoint);
        }
        for host in &site.hosts {
            let mut links = Vec::new();
            let mut entries = collections::BTreeMap::new();
            for endpoint in &site.endpoints {
                let link = link::Link::start(endpoint.address).await;
                let listed = plan::Endpoint {
                    address: link.address,
                    ..endpoint.listed()
                };
                entries.insert(listed.id.clone(), edge::Entry::Endpoint(listed));
                links.push(link);
            }
            let entries = entries.into_iter().map(|(id, entry)| (id, entry, 1));
            let entries = entries.collect();
            host.update_endpoints(|now, registry| registry.replace(now, entries, 1));
            host.confirm_plan();
            site.links.push(links);
        }
        let start = Instant::now();
        while site
            .hosts
            .iter()
            .any(|host| host.caller_addresses("").len() < hosts)
        {
            assert!(
                start.elapsed() < common::ms(10_000),
                "the hosts do not meet"
            );
            tokio::time::sleep(common::ms(50)).await;
        }
        site
    }

    fn set(&self, hosts: core::ops::Range<usize>, state: link::State) {
        for link in self.links[hosts].iter().flatten() {
            link.set(state);
        }
    }

    /// Sends requests to these hosts and returns the answers.
    async fn call(
        &self,
        hosts: core::ops::Range<usize>,
        path: &'static str,
        name: &str,
    ) -> Vec<common::Answer> {
        let mut callers = tokio::task::JoinSet::new();
        for (index, host) in hosts.clone().zip(&self.hosts[hosts]) {
            for caller in 0..CALLERS {
                let host = host.clone();
                let name = format!("{name}-{index}-{caller}");
                callers.spawn(async move {
                    let mut answers = Vec::new();
                    for round in 0..ROUNDS {
                        let id = format!("{name}-{round}");
                        let text = common::request("POST", path, &id, "", "body");
                        answers.push(common::call(&host, &text).await);
                        tokio::time::sleep(common::ms(40)).await;
                    }
                    answers
                });
            }
        }
        callers.join_all().await.into_iter().flatten().collect()
    }

    /// Returns the most runs of one request.
    fn most_runs(&self) -> usize {
        let mut runs: collections::HashMap<String, usize> = collections::HashMap::new();
        for request in self.endpoints.iter().flat_map(endpoint::Endpoint::requests) {
            let id = request.header("x-request-id").unwrap_or_default();
            *runs.entry(id.to_owned()).or_default() += 1;
        }
        runs.into_values().max().unwrap_or(0)
    }
}

fn events() -> String {
    (1..=5).map(endpoint::event).collect()
}

fn answer(request: &endpoint::Request) -> Vec<Step> {
    let pause = Step::Pause(common::ms(15));
    if !request.head.contains("/long/") {
        let mut steps = vec![pause];
        steps.extend(endpoint::ok(request, "done"));
        return steps;
    }
    let last = request.header("last-event-id");
    let last = last.and_then(|id| id.parse().ok()).unwrap_or(0);
    let mut steps = vec![endpoint::stream_head(request)];
    for id in last + 1..=5 {
        steps.extend([pause.clone(), endpoint::chunk(&endpoint::event(id))]);
    }
    steps.push(endpoint::stream_end());
    steps
}

fn is_served(path: &str, answer: &common::Answer) -> bool {
    let body = match path.starts_with("/long/") {
        true => events(),
        false => "done".to_owned(),
    };
    answer.status == 200 && answer.is_whole && answer.text() == body
}

// Guards against callers that are refused because their host cannot reach the endpoints
// that other hosts reach.
#[rstest]
#[case::book_while_connections_hang(0, link::State::Hang, "/book/a", 3, 1)]
#[case::look_while_connections_hang(1, link::State::Hang, "/look/a", 3, 1)]
#[case::long_while_connections_hang(2, link::State::Hang, "/long/a", 3, 1)]
#[case::book_while_new_connections_are_refused(3, link::State::Refuse, "/book/a", 3, 1)]
#[case::look_while_new_connections_are_refused(4, link::State::Refuse, "/look/a", 3, 1)]
#[case::long_while_new_connections_are_refused(5, link::State::Refuse, "/long/a", 3, 1)]
#[case::book_after_resets(6, link::State::Reset, "/book/a", 3, 1)]
#[case::long_after_resets(7, link::State::Reset, "/long/a", 3, 1)]
#[case::most_hosts(8, link::State::Hang, "/book/a", 6, 5)]
#[case::most_hosts_refused(9, link::State::Reset, "/look/a", 6, 5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_links_to_the_endpoints_serves_its_callers(
    #[case] net: u8,
    #[case] state: link::State,
    #[case] path: &'static str,
    #[case] hosts: usize,
    #[case] cut: usize,
) {
    let site = Site::start(net, hosts, 3).await;
    let before = site.call(0..hosts, path, "before").await;
    assert!(before.iter().all(|answer| is_served(path, answer)));
    site.set(0..cut, state);
    // Callers send all the while, so the first requests of the cut are among them.
    let from = Instant::now();
    while from.elapsed() < common::ms(NOTICE_MS) {
        site.call(0..cut, path, &format!("notice-{:?}", from.elapsed()))
            .await;
    }
    let (inside, outside) = tokio::join!(
        site.call(0..cut, path, "inside"),
        site.call(cut..hosts, path, "outside")
    );
    let served = |answers: &[common::Answer]| {
        let served = answers.iter().filter(|answer| is_served(path, answer));
        served.count() as f64 / answers.len() as f64
    };
    let (inside_share, outside_share) = (served(&inside), served(&outside));
    let other = inside.iter().find(|answer| !is_served(path, answer));
    let other = other.map(|answer| (answer.status, answer.text()));
    assert!(outside_share >= 0.9, "{outside_share} served at the others");
    assert!(
        inside_share >= 0.9 * outside_share,
        "{inside_share} served, {outside_share} at the others; {other:?}"
    );
    if path.starts_with("/book/") {
        assert_eq!(site.most_runs(), 1, "work that may run once");
    }
    // The links are used again after the cut.
    site.set(0..cut, link::State::Up);
    tokio::time::sleep(common::ms(2_000)).await;
    site.set(cut..hosts, link::State::Reset);
    let after = site.call(0..cut, path, "after").await;
    let share = served(&after);
    assert!(share >= 0.9, "{share} served over the own links afterwards");
}

// Guards against a host that sends requests of others to an endpoint that asked it for a
// pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_that_pauses_gets_no_requests_of_other_hosts() {
    let tired = |request: &endpoint::Request| {
        if request.header("x-endpoint") != Some("e0") {
            return answer(request);
        }
        let extra = "x-not-run: full\r\nretry-after: 3\r\n";
        vec![Step::Bytes(endpoint::text(request, 503, extra, ""))]
    };
    let site = Site::start_with(10, 6, 3, tired).await;
    // The last host is turned away, and the others are cut off later. Each of them would
    // send a request before it is told of the pause.
    let mut first = Vec::new();
    while site.endpoints[0].count() == 0 {
        first.extend(site.call(5..6, "/book/a", "before").await);
    }
    let asked = Instant::now();
    assert!(first.iter().all(|answer| is_served("/book/a", answer)));
    site.set(0..5, link::State::Reset);
    tokio::time::sleep(common::ms(500)).await;
    let before = site.endpoints[0].count();
    let mut answers = Vec::new();
    while asked.elapsed() < common::ms(2_900) {
        let name = format!("inside-{:?}", asked.elapsed());
        answers.extend(site.call(0..5, "/book/a", &name).await);
        answers.extend(site.call(5..6, "/book/a", &name).await);
    }
    let during = site.endpoints[0].count() - before;
    assert!(during <= 2, "{during} requests in the pause");
    let served = answers.iter().filter(|answer| is_served("/book/a", answer));
    let share = served.count() as f64 / answers.len() as f64;
    assert!(
        share >= 0.9,
        "{share} served while one of three endpoints pauses"
    );
}

// Guards against work that may run once and is given up, because a host that declines it
// closes the link while a long body arrives and its answer is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_body_is_passed_on_although_most_hosts_decline_it() {
    let site = Site::start(11, 8, 3).await;
    site.set(0..7, link::State::Reset);
    // The hosts notice that they are cut off.
    site.call(0..7, "/book/a", "notice").await;
    let body = "b".repeat(600_000);
    for round in 0..6 {
        for (index, host) in site.hosts[..7].iter().enumerate() {
            let id = format!("long-{round}-{index}");
            let text = common::request("POST", "/book/a", &id, "", &body);
            let answer = common::call(host, &text).await;
            let seen = (answer.status, answer.text());
            assert!(is_served("/book/a", &answer), "{id}: {seen:?}");
        }
        // What hosts know of each other expires.
        tokio::time::sleep(common::ms(1_100)).await;
    }
    assert_eq!(site.most_runs(), 1, "work that may run once");
}
