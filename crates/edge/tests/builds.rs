//! Guards against streams that hold events of endpoints of two builds, and against
//! resumed streams that are refused although their build is known.

mod common;

use std::net;
use std::sync;

use common::endpoint::{self, Step};
use rand::RngExt;
use rstest::rstest;

fn whole(from: u64, to: u64) -> String {
    (from..=to).map(endpoint::event).collect()
}

/// Breaks a new stream after two events and completes a resumed one.
fn breaks_first(request: &endpoint::Request) -> Vec<Step> {
    let last = request.header("last-event-id");
    let from = last.map_or(1, |id| id.parse::<u64>().expect("id") + 1);
    let mut steps = vec![endpoint::stream_head(request)];
    if last.is_none() {
        steps.push(endpoint::chunk(&whole(1, 2)));
        steps.push(Step::Pause(common::ms(250)));
        steps.push(Step::Reset);
        return steps;
    }
    steps.push(endpoint::chunk(&whole(from, 6)));
    steps.push(endpoint::stream_end());
    steps
}

/// Sends all events, and is silent after two of them.
fn silent_after_events(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        endpoint::chunk(&whole(1, 2)),
        Step::Pause(common::ms(1_300)),
        endpoint::chunk(&whole(3, 6)),
        endpoint::stream_end(),
    ]
}

/// Endpoints with their builds.
struct Service(Vec<(endpoint::Endpoint, Option<&'static str>)>);

impl Service {
    async fn start(
        builds: &[Option<&'static str>],
        script: fn(&endpoint::Request) -> Vec<Step>,
    ) -> Self {
        let mut endpoints = Vec::new();
        for (index, build) in builds.iter().enumerate() {
            let endpoint = endpoint::Endpoint::start(&format!("e{index}"), script).await;
            endpoints.push((endpoint, *build));
        }
        Self(endpoints)
    }

    /// Lists the endpoints that match at a host.
    fn list(
        &self,
        host: &edge::Host,
        revision: u64,
        matches: impl Fn(usize, Option<&str>) -> bool,
    ) {
        let entries = self
            .0
            .iter()
            .enumerate()
            .filter(|(index, (_, build))| matches(*index, *build))
            .map(|(_, (endpoint, build))| {
                let mut listed = endpoint.listed();
                listed.build = build.map(str::to_owned);
                (listed.id.clone(), edge::Entry::Endpoint(listed), revision)
            })
            .collect();
        host.update_endpoints(|now, registry| registry.replace(now, entries, revision));
        host.confirm_plan();
    }

    /// Returns the builds of the endpoints that received a request of the stream.
    fn builds(&self, ids: &[&str]) -> Vec<Option<&'static str>> {
        let received = |endpoint: &endpoint::Endpoint| {
            let requests = endpoint.requests();
            requests.iter().any(|request| {
                let id = request.header("x-request-id");
                id.is_some_and(|id| ids.contains(&id))
            })
        };
        let served = self.0.iter().filter(|(endpoint, _)| received(endpoint));
        let mut builds: Vec<_> = served.map(|(_, build)| *build).collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }

    fn count(&self) -> usize {
        self.0.iter().map(|(endpoint, _)| endpoint.count()).sum()
    }
}

/// Returns a plan in which a request has so many attempts.
fn plan(attempts: u32) -> plan::Plan {
    let mut plan = common::plan(2);
    for route in &mut plan.routes {
        route.attempts_max = attempts;
        route.timeout = common::ms(TIMEOUT_MS);
    }
    plan
}

/// Time-out of the routes.
const TIMEOUT_MS: u64 = 2_000;

/// Waits until the hosts have followed the list of endpoints for as long as a stream
/// can last.
async fn wait_for_history(hosts: &[sync::Arc<edge::Host>]) {
    for _ in 0..2 {
        tokio::time::sleep(common::ms(TIMEOUT_MS + 50)).await;
        hosts.iter().for_each(|host| host.confirm_plan());
    }
}

/// Starts hosts that know each other, with this number of attempts a request.
async fn hosts(count: usize, attempts: u32) -> Vec<sync::Arc<edge::Host>> {
    let subnet: [u8; 2] = rand::rng().random();
    // CAST: There are only a few hosts.
    let ips: Vec<net::Ipv4Addr> = (1..=count as u8)
        .map(|host| [127, subnet[0], subnet[1], host].into())
        .collect();
    let ports = common::host_ports(&ips);
    let address = |host: usize, offset: u16| net::SocketAddr::from((ips[host], ports + offset));
    let mut hosts: Vec<sync::Arc<edge::Host>> = Vec::new();
    for index in 0..count {
        let options = edge::Options {
            listen: address(index, 0),
            peer_listen: address(index, 1),
            load_listen: address(index, 2),
            ..common::options(&format!("h{index}"), vec![address(0, 1)])
        };
        let host = edge::Host::start(options).await.expect("host");
        host.apply_plan(plan(attempts), "test");
        host.confirm_plan();
        hosts.push(host);
    }
    let known = async {
        while hosts
            .iter()
            .any(|host| host.caller_addresses("dc").len() < count)
        {
            tokio::time::sleep(common::ms(20)).await;
        }
    };
    tokio::time::timeout(common::ms(10_000), known)
        .await
        .expect("hosts that know each other");
    hosts
}

fn begin(id: &str) -> String {
    common::request("POST", "/long/a", id, "", "prompt")
}

/// Returns the request that takes up a stream after its second event.
fn resume(id: &str, origin: &str) -> String {
    let extra = format!("x-resumes: {origin}\r\nlast-event-id: 2\r\n");
    common::request("POST", "/long/a", id, &extra, "prompt")
}

// Guards against a host that resumes a broken stream at any build.
#[rstest]
#[case::other_build(&[Some("v1"), Some("v2")], false)]
#[case::unknown_builds(&[None, None], false)]
#[case::same_build(&[Some("v1"), Some("v1"), Some("v2"), Some("v2")], true)]
#[tokio::test]
async fn a_host_resumes_a_stream_at_its_build_only(
    #[case] builds: &[Option<&'static str>],
    #[case] is_resumed: bool,
) {
    let service = Service::start(builds, breaks_first).await;
    let host = &hosts(1, 2).await[0];
    service.list(host, 1, |_, _| true);
    for round in 0..12 {
        let id = format!("r{round}");
        let answer = common::call(host, &begin(&id)).await;
        assert_eq!(answer.is_whole, is_resumed, "{answer:?}");
        let expected = whole(1, if is_resumed { 6 } else { 2 });
        assert_eq!(answer.text(), expected);
        assert_eq!(service.builds(&[&id]).len(), 1);
    }
}

// Guards against a silent stream that an endpoint of another build takes over.
#[tokio::test]
async fn a_silent_stream_is_not_taken_over_by_another_build() {
    let service = Service::start(&[Some("v1"), Some("v2")], silent_after_events).await;
    let host = &hosts(1, 2).await[0];
    service.list(host, 1, |_, _| true);
    let answer = common::call(host, &begin("r1")).await;
    assert_eq!((answer.is_whole, answer.text()), (true, whole(1, 6)));
    assert_eq!(service.count(), 1);
}

// Guards against a rule for streams that also binds requests without an event.
#[tokio::test]
async fn a_request_without_an_event_is_retried_at_any_build() {
    let served = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    let mut endpoints = Vec::new();
    for (id, build) in [("e0", "v1"), ("e1", "v2")] {
        let served = served.clone();
        let script = move |request: &endpoint::Request| match served
            .fetch_add(1, sync::atomic::Ordering::SeqCst)
        {
            0 => vec![Step::Reset],
            _ => vec![
                endpoint::stream_head(request),
                endpoint::chunk(&whole(1, 6)),
                endpoint::stream_end(),
            ],
        };
        let endpoint = endpoint::Endpoint::start(id, script).await;
        endpoints.push((endpoint, Some(build)));
    }
    let service = Service(endpoints);
    let host = &hosts(1, 2).await[0];
    service.list(host, 1, |_, _| true);
    let answer = common::call(host, &begin("r1")).await;
    assert_eq!((answer.is_whole, answer.text()), (true, whole(1, 6)));
}

// Guards against a caller that takes up a stream at another host and build.
#[tokio::test]
async fn a_stream_taken_up_at_another_host_goes_on_at_its_build() {
    let builds = [Some("v1"), Some("v1"), Some("v2"), Some("v2")];
    let service = Service::start(&builds, breaks_first).await;
    let hosts = hosts(5, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, _| true);
    }
    for round in 0..20 {
        let (first, second) = (format!("a{round}"), format!("b{round}"));
        let (from, to) = (&hosts[round % 5], &hosts[(round + 1 + round / 5) % 5]);
        let cut = common::call(from, &begin(&first)).await;
        assert_eq!((cut.is_whole, cut.text()), (false, whole(1, 2)));
        let rest = common::call(to, &resume(&second, &first)).await;
        assert_eq!((rest.status, rest.text()), (200, whole(3, 6)), "{rest:?}");
        assert_eq!(service.builds(&[&first, &second]).len(), 1);
    }
}

// Guards against a host that lists one build and takes it for the build of a stream
// that began at another one.
#[tokio::test]
async fn a_host_with_another_list_does_not_guess_the_build() {
    let builds = [Some("v1"), Some("v1"), Some("v2"), Some("v2")];
    let service = Service::start(&builds, breaks_first).await;
    let hosts = hosts(5, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, _| true);
    }
    service.list(&hosts[0], 2, |_, build| build == Some("v1"));
    let mut served = 0;
    for round in 0..12 {
        let (first, second) = (format!("a{round}"), format!("b{round}"));
        common::call(&hosts[1], &begin(&first)).await;
        let rest = common::call(&hosts[0], &resume(&second, &first)).await;
        assert_eq!(service.builds(&[&first, &second]).len(), 1);
        assert!(rest.status == 200 || rest.status == 503, "{rest:?}");
        served += usize::from(rest.status == 200);
        if rest.status == 200 {
            assert_eq!(service.builds(&[&first]), [Some("v1")]);
        }
    }
    assert!((1..12).contains(&served), "{served} of 12 served");
}

// Guards against a host that does not know the build and guesses it.
#[tokio::test]
async fn a_stream_of_an_unknown_build_is_refused_as_not_run() {
    let service = Service::start(&[Some("v1"), Some("v2")], breaks_first).await;
    let host = &hosts(1, 1).await[0];
    service.list(host, 1, |_, _| true);
    let answer = common::call(host, &resume("b1", "a1")).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(service.count(), 0);
}

// Guards against refusals where only one build can have begun the stream.
#[tokio::test]
async fn a_stream_without_a_record_goes_on_where_one_build_is_listed() {
    let service = Service::start(&[Some("v1"), Some("v1")], breaks_first).await;
    let hosts = hosts(3, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, _| true);
    }
    wait_for_history(&hosts).await;
    let rest = common::call(&hosts[1], &resume("b1", "a1")).await;
    assert_eq!((rest.status, rest.text()), (200, whole(3, 6)), "{rest:?}");
}

// Guards against refusals of the streams that are open when a second build appears.
#[tokio::test]
async fn a_stream_begun_before_another_build_was_listed_goes_on_at_the_first() {
    let builds = [Some("v1"), Some("v1"), Some("v2")];
    let service = Service::start(&builds, breaks_first).await;
    let hosts = hosts(3, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, build| build == Some("v1"));
    }
    wait_for_history(&hosts).await;
    let cut = common::call(&hosts[0], &begin("a1")).await;
    assert_eq!((cut.is_whole, cut.text()), (false, whole(1, 2)));
    for host in &hosts {
        service.list(host, 2, |_, _| true);
    }
    tokio::time::sleep(common::ms(50)).await;
    for (index, host) in hosts.iter().enumerate() {
        let id = format!("b{index}");
        let rest = common::call(host, &resume(&id, "a1")).await;
        assert_eq!((rest.status, rest.text()), (200, whole(3, 6)), "{rest:?}");
        assert_eq!(service.builds(&[&id]), [Some("v1")]);
    }
}

// Guards against a host that takes the builds that it lists for those of the time
// before it started, or before it last lost contact with the platform.
#[tokio::test]
async fn a_host_without_history_does_not_guess_the_build() {
    let service = Service::start(&[Some("v1"), Some("v1")], breaks_first).await;
    let hosts = hosts(1, 1).await;
    let host = &hosts[0];
    service.list(host, 1, |_, _| true);
    assert_eq!(common::call(host, &resume("b1", "a1")).await.status, 503);
    wait_for_history(&hosts).await;
    assert_eq!(common::call(host, &resume("b2", "a2")).await.status, 200);
    tokio::time::sleep(common::ms(5_200)).await;
    assert_eq!(common::call(host, &resume("b3", "a3")).await.status, 503);
    host.confirm_plan();
    assert_eq!(common::call(host, &resume("b4", "a4")).await.status, 503);
    wait_for_history(&hosts).await;
    assert_eq!(common::call(host, &resume("b5", "a5")).await.status, 200);
}

// Guards against a stream that is taken up at the only build that is listed, after
// the build that began it was replaced.
#[tokio::test]
async fn a_stream_without_a_record_is_refused_after_its_build_was_replaced() {
    let service = Service::start(&[Some("v1"), Some("v2")], breaks_first).await;
    let hosts = hosts(3, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, build| build == Some("v1"));
    }
    wait_for_history(&hosts).await;
    for host in &hosts {
        service.list(host, 2, |_, build| build == Some("v2"));
    }
    for host in &hosts {
        let rest = common::call(host, &resume("b1", "unknown")).await;
        assert_eq!(rest.status, 503, "{rest:?}");
    }
    assert_eq!(service.count(), 0);
    wait_for_history(&hosts).await;
    let rest = common::call(&hosts[0], &resume("b2", "unknown")).await;
    assert_eq!(rest.status, 200, "{rest:?}");
}

// Guards against a stream that goes on in a service to which its route has moved.
#[tokio::test]
async fn a_stream_without_a_record_is_refused_after_its_route_has_moved() {
    let service = Service::start(&[Some("v1"), Some("v2")], breaks_first).await;
    let hosts = hosts(1, 1).await;
    let host = &hosts[0];
    let entries = service.0.iter().zip(["s", "t"]).map(|(entry, name)| {
        let mut listed = entry.0.listed();
        listed.build = entry.1.map(str::to_owned);
        listed.service = name.to_owned();
        (listed.id.clone(), edge::Entry::Endpoint(listed), 1)
    });
    let entries = entries.collect();
    host.update_endpoints(|now, registry| registry.replace(now, entries, 1));
    wait_for_history(&hosts).await;
    let mut moved = plan(1);
    moved.revision = 3;
    for route in &mut moved.routes {
        route.targets[0].service = "t".into();
    }
    host.apply_plan(moved, "test");
    let answer = common::call(host, &resume("b1", "a1")).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(service.count(), 0);
}
