//! Tests of prompt parts that crash the endpoints that begin to answer on them.

mod common;

use std::sync;

use base::mutex;
use common::engine;
use common::fleet;
use rstest::rstest;
use tokio::time::Instant;

const HOSTS: usize = 9;
const ENGINES: usize = 12;

/// Callers with sound requests at each host.
const CALLERS: usize = 3;

/// Time between two requests with the bad part.
const BAD_PERIOD_MS: u64 = 150;

/// Crashes after which the hosts have to know the part.
const CRASHES_MAX: usize = 5;

/// Time after the last of these crashes in which further requests may reach engines.
const NOTICE_MS: u64 = 3_000;

/// Most requests that may reach engines after that time.
const LATE_MAX: usize = 3;

/// Time after the last of these crashes after which sound requests are served again.
const RECOVERY_MS: u64 = 6_000;

/// Time for which sound requests are counted.
const COUNTED_MS: u64 = 2_500;

/// Returns a request with these prompt parts, the last of which is its own.
fn request(id: &str, parts: &[String]) -> String {
    let shared: String = parts.iter().map(|part| format!("{part}:100,")).collect();
    let extra = format!("x-prompt: {shared}{:x}:20\r\n", xxhash(id));
    common::request("POST", "/live/chat", id, &extra, id)
}

fn xxhash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Whether sound requests were served, and when they were sent.
type Log = sync::Arc<sync::Mutex<Vec<(Instant, bool)>>>;

/// Returns prompt parts by their names.
fn named(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|&part| part.to_owned()).collect()
}

/// Returns the parts of the sound requests of a caller, who shares its session with others.
fn sound_parts(caller: usize) -> Vec<String> {
    let session = format!("5e55{:x}", caller % 7);
    named(&["f00d", "c0de", &session])
}

/// Sends sound requests with these parts, one after the other.
async fn call_soundly(host: sync::Arc<edge::Host>, caller: usize, parts: Vec<String>, log: Log) {
    for round in 0.. {
        let sent = Instant::now();
        let text = request(&format!("s{caller}-{round}"), &parts);
        let answer = common::call(&host, &text).await;
        let is_served = answer.status == 200 && answer.is_whole;
        mutex::lock(&log).push((sent, is_served));
        tokio::time::sleep(common::ms(20)).await;
    }
}

/// Returns the share of the requests sent in this time that were served.
fn served(log: &Log, from: Instant, to: Instant) -> f64 {
    let log = mutex::lock(log);
    let sent: Vec<bool> = log
        .iter()
        .filter(|(at, _)| (from..to).contains(at))
        .map(|&(_, is_served)| is_served)
        .collect();
    assert!(sent.len() >= 20, "{} sound requests", sent.len());
    sent.iter().filter(|&&is_served| is_served).count() as f64 / sent.len() as f64
}

async fn start(net: u8, crash: engine::Crash) -> fleet::Fleet {
    let options = engine::Options {
        crash,
        restart: common::ms(900),
        answer: common::ms(250),
    };
    fleet::Fleet::start([79, net], HOSTS, ENGINES, options).await
}

fn start_callers(
    fleet: &fleet::Fleet,
    parts: impl Fn(usize) -> Vec<String>,
) -> (Log, tokio::task::JoinSet<()>) {
    let log = Log::default();
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..HOSTS * CALLERS {
        let host = fleet.hosts[caller % HOSTS].clone();
        callers.spawn(call_soundly(host, caller, parts(caller), log.clone()));
    }
    (log, callers)
}

// Guards against a prompt part that crashes one engine after the other because
// no two requests with it are alike.
#[rstest]
#[case::before_the_head(0, engine::Crash::BeforeHead, &["f00d", "c0de", "bad0"])]
#[case::after_the_head(1, engine::Crash::AfterHead, &["f00d", "c0de", "bad0"])]
#[case::after_the_first_event(2, engine::Crash::AfterPart, &["f00d", "c0de", "bad0"])]
#[case::as_the_first_part(3, engine::Crash::AfterHead, &["bad0", "c0de"])]
#[case::before_a_sound_part(4, engine::Crash::AfterHead, &["f00d", "bad0", "5e550"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn different_requests_with_a_part_that_crashes_engines_are_refused_by_all_hosts(
    #[case] net: u8,
    #[case] crash: engine::Crash,
    #[case] parts: &'static [&'static str],
) {
    check_refusal(net, crash, named(parts), sound_parts).await;
}

// Guards against a prompt part that is never found because its prompts have more parts than
// a host keeps of one, or sends in one message. Sound prompts share all other parts.
#[rstest]
#[case::early_of_twelve(6, 12, 1)]
#[case::first_of_sixty(7, 60, 0)]
#[case::middle_of_sixty(8, 60, 30)]
#[case::last_of_sixty(9, 60, 59)]
#[case::in_the_third_message(10, 200, 150)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_of_a_long_prompt_that_crashes_engines_is_refused_by_all_hosts(
    #[case] net: u8,
    #[case] count: usize,
    #[case] bad: usize,
) {
    let parts = |name: &str| {
        let mut parts: Vec<String> = (0..count).map(|part| format!("a{part:04x}")).collect();
        name.clone_into(&mut parts[bad]);
        parts
    };
    let crash = engine::Crash::AfterPart;
    check_refusal(net, crash, parts("bad0"), |_| parts("600d")).await;
}

/// Checks that all hosts refuse requests with the bad one of these parts, and go on to serve
/// sound requests.
async fn check_refusal(
    net: u8,
    crash: engine::Crash,
    parts: Vec<String>,
    sound: impl Fn(usize) -> Vec<String>,
) {
    let mut fleet = start(net, crash).await;
    let (log, mut callers) = start_callers(&fleet, sound);
    tokio::time::sleep(common::ms(1_500)).await;
    let begun = Instant::now();
    let before = served(&log, begun - common::ms(1_500), begun - common::ms(300));
    let ends = |fleet: &fleet::Fleet| {
        let times = fleet.engines.iter().map(|engine| engine.crashes.clone());
        let mut times: Vec<Instant> = times
            .flat_map(|times| mutex::lock(&times).clone())
            .collect();
        times.sort_unstable();
        times
    };
    for round in 0.. {
        let is_long = begun.elapsed() > common::ms(2_000);
        let ends = ends(&fleet);
        let known = ends.get(CRASHES_MAX - 1);
        // There may be fewer crashes.
        let known = known.or(ends.last().filter(|_| is_long));
        let is_over = |known: &Instant| known.elapsed() > common::ms(RECOVERY_MS + COUNTED_MS);
        if known.is_some_and(is_over) {
            break;
        }
        let host = fleet.hosts[round % HOSTS].clone();
        let text = request(&format!("p{round}"), &parts);
        callers.spawn(async move {
            let _ = common::call(&host, &text).await;
        });
        tokio::time::sleep(common::ms(BAD_PERIOD_MS)).await;
        fleet.list();
    }
    let ends = ends(&fleet);
    let fifth = ends.get(CRASHES_MAX - 1).or(ends.last()).copied();
    let fifth = fifth.expect("the part ends engines");
    let late = |end: &&Instant| **end > fifth + common::ms(NOTICE_MS);
    let late = ends.iter().filter(late).count();
    let from = fifth + common::ms(RECOVERY_MS);
    let after = served(&log, from, from + common::ms(COUNTED_MS - 500));
    callers.shutdown().await;
    assert!(
        late <= LATE_MAX,
        "{late} requests reached engines late, {} in all",
        ends.len()
    );
    assert!(
        after >= before / 2.0,
        "{after:.2} of the sound requests are served, {before:.2} before"
    );
}

// Guards against sound prompts that are refused because engines crashed for other
// reasons while they ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompts_are_not_refused_for_crashes_of_other_causes() {
    let mut fleet = start(5, engine::Crash::AfterHead).await;
    let (log, mut callers) = start_callers(&fleet, sound_parts);
    for round in 0..30 {
        tokio::time::sleep(common::ms(150)).await;
        fleet.engines[round % ENGINES].crash();
        fleet.list();
    }
    // Until the last engine is listed again.
    for _ in 0..8 {
        tokio::time::sleep(common::ms(150)).await;
        fleet.list();
    }
    let from = Instant::now();
    tokio::time::sleep(common::ms(2_500)).await;
    let share = served(&log, from, from + common::ms(2_000));
    callers.shutdown().await;
    assert!(share > 0.98, "{share:.2} of the sound requests are served");
}
