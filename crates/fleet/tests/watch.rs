//! Tests of which hosts read the platform, and how often.

mod sample;

use core::time::Duration;
use std::collections::BTreeSet;

use fleet::{Action, Entry, Poller};

const SECOND: Duration = Duration::from_secs(1);

/// Seconds for which the platform holds a watch.
const WATCH_S: u64 = 30;

/// Hosts that share one view, and how they read the platform.
struct Readers {
    entries: Vec<Entry>,
    pollers: Vec<Poller>,
    is_up: Vec<bool>,
    /// Second at which the watch of each host ends, if it has one.
    watching: Vec<Option<u64>>,
    second: u64,
}

impl Readers {
    fn new(count: usize, seed: u64) -> Self {
        let entries: Vec<Entry> = (0..count)
            .map(|number| sample::entry(number, 11, 3))
            .collect();
        let pollers = (0..count as u64)
            .map(|number| Poller::new(seed * 1_000 + number))
            .collect();
        Self {
            pollers,
            is_up: vec![true; count],
            watching: vec![None; count],
            entries,
            second: 0,
        }
    }

    fn live(&self) -> Vec<&Entry> {
        let pairs = self.entries.iter().zip(&self.is_up);
        pairs
            .filter(|(_, up)| **up)
            .map(|(entry, _)| entry)
            .collect()
    }

    /// Runs one second and returns the number of calls to the platform.
    ///
    /// `digests` is whether every host receives a digest, `platform` whether the
    /// platform answers.
    fn step(&mut self, view: &[Entry], digests: bool, platform: bool) -> usize {
        self.second += 1;
        let now = SECOND * self.second as u32;
        let live: Vec<&Entry> = view.iter().collect();
        let mut calls = 0;
        for number in 0..self.entries.len() {
            if !self.is_up[number] {
                continue;
            }
            let poller = &mut self.pollers[number];
            if digests {
                poller.record_digest(now);
            }
            let action = poller.next_action(now, &self.entries[number], &live);
            let is_held = self.watching[number].is_some_and(|end| self.second < end);
            if action == Action::Follow || action == Action::Watch && is_held {
                continue;
            }
            calls += 1;
            if !platform {
                poller.record_failure(now);
                continue;
            }
            poller.record_answer(now);
            poller.set_configured();
            if action == Action::Watch {
                self.watching[number] = Some(self.second + WATCH_S);
            }
        }
        calls
    }

    fn watchers(&self) -> BTreeSet<usize> {
        let held = |number: &usize| self.watching[*number].is_some_and(|end| self.second < end);
        (0..self.entries.len()).filter(held).collect()
    }
}

/// Guards against a start or a loss of watchers that floods the platform, which
/// serves 2,000 calls per second in total.
#[rstest::rstest]
fn calls_stay_far_below_what_the_platform_serves(#[values(1, 2, 3)] seed: u64) {
    let mut readers = Readers::new(340, seed);
    let all = readers.entries.clone();
    assert_eq!(
        readers.step(&all, true, true),
        340,
        "each host reads at once"
    );
    assert!(readers.step(&all, true, true) <= 22);
    let steady: usize = (0..300).map(|_| readers.step(&all, true, true)).sum();
    assert!(steady <= 300 * 22 / 25, "{steady} calls in 300 s");

    let watchers = readers.watchers();
    assert_eq!(watchers.len(), 22, "two in each of 11 data centres");
    for &number in watchers.iter().step_by(2) {
        readers.is_up[number] = false;
    }
    let undetected: usize = (0..6).map(|_| readers.step(&all, true, true)).sum();
    assert!(undetected <= 22);
    let view: Vec<Entry> = readers.live().into_iter().cloned().collect();
    let most = (0..60).map(|_| readers.step(&view, true, true)).max();
    assert!(most <= Some(22), "{most:?} calls in a second");
    let held = readers.watchers();
    assert!(held.iter().filter(|&&number| readers.is_up[number]).count() >= 22);
}

/// Guards against hosts that read all at once or too often when they receive no
/// digests, whether or not the platform answers.
#[rstest::rstest]
fn hosts_without_digests_spread_their_reads(
    #[values(1, 2, 3)] seed: u64,
    #[values(true, false)] up: bool,
) {
    let mut readers = Readers::new(340, seed);
    let all = readers.entries.clone();
    readers.step(&all, true, true);
    let calls: Vec<usize> = (0..300).map(|_| readers.step(&all, false, up)).collect();
    let most = calls.iter().max().copied().unwrap_or(0);
    // Reads are spread over the 3 s of the jitter, so that in no second more than
    // half of the hosts read.
    assert!(most <= 170, "{most} calls in a second");
    // The token bucket allows each host one read in 10 s after the first three.
    let late: usize = calls[60..].iter().sum();
    assert!(late <= 240 * (34 + 22), "{late} calls in 240 s");
}

/// Guards against a host without a configuration that only waits for peers that
/// have none either, and against one that reads in a tight loop.
#[test]
fn an_unconfigured_host_reads_at_once_and_again_with_backoff() {
    let own = sample::entry(0, 1, 1);
    let others: Vec<Entry> = (0..9).map(|number| sample::entry(number, 1, 1)).collect();
    let live: Vec<&Entry> = others.iter().collect();
    let mut poller = Poller::new(1);
    assert!(poller.is_unconfigured());
    assert_eq!(
        poller.next_action(Duration::ZERO, &own, &live),
        Action::Read
    );
    poller.record_failure(Duration::ZERO);
    let mut reads = 0;
    for second in 1..=60 {
        let now = SECOND * second;
        poller.record_digest(now);
        if poller.next_action(now, &own, &live) == Action::Read {
            reads += 1;
            poller.record_failure(now);
        }
    }
    assert!((2..=9).contains(&reads), "{reads} reads in a minute");
}
