use core::time;
use std::collections;

use crate::class;
use crate::event;
use crate::histogram;
use crate::options;
use crate::ring;
use crate::series;
use crate::snapshot;
use crate::window;

/// Name of the series for teams beyond the bound.
const OTHER: &str = "other";

/// Window over which latencies are kept.
const LATENCY: window::Window = window::Window::Hour;

/// Least time between two searches for idle series.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Counts requests per class and team on one host.
///
/// Times are durations since one fixed start, such as that of the process.
#[derive(Clone, Debug)]
pub struct Recorder {
    classes: Vec<Latency>,
    /// The series are boxed, because a growing map has up to twice as many places
    /// as entries.
    series: collections::HashMap<(u16, Who), Box<series::Series>>,
    /// Number of series of single teams.
    teams: usize,
    series_max: usize,
    swept: Option<time::Duration>,
}

/// Whom a series counts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Who {
    Team(u32),
    Other,
}

/// One class with its latencies.
#[derive(Clone, Debug)]
struct Latency {
    class: class::Class,
    ring: ring::Ring<histogram::Histogram>,
}

impl Recorder {
    /// Returns a book without requests.
    pub fn new(options: options::Options, now: time::Duration) -> Self {
        let latency = |class| Latency::new(class, now);
        Self {
            classes: options.classes.into_iter().map(latency).collect(),
            series: collections::HashMap::new(),
            teams: 0,
            series_max: options.series_max,
            swept: None,
        }
    }

    /// Replaces the classes. Series follow their class by its name to its new
    /// position; those of removed classes are dropped.
    pub fn set_classes(&mut self, classes: Vec<class::Class>, now: time::Duration) {
        let mut before = collections::HashMap::new();
        for (index, latency) in core::mem::take(&mut self.classes).into_iter().enumerate() {
            before.insert(latency.class.name.clone(), (index, latency.ring));
        }
        let mut moved = collections::HashMap::new();
        for (index, class) in classes.into_iter().enumerate() {
            let mut latency = Latency::new(class, now);
            if let Some((old, ring)) = before.remove(&latency.class.name) {
                latency.ring = ring;
                moved.insert(old, index);
            }
            self.classes.push(latency);
        }
        let place = |class: u16| moved.get(&usize::from(class)).copied();
        let series = core::mem::take(&mut self.series).into_iter();
        self.series = series
            .filter_map(|((class, who), series)| {
                let class = u16::try_from(place(class)?).ok()?;
                Some(((class, who), series))
            })
            .collect();
        self.count_teams();
    }

    /// Counts one request. An event of a class that the book lacks, which can
    /// occur while the classes change, is dropped.
    pub fn record(&mut self, now: time::Duration, event: &event::Event<'_>) {
        let Some(latency) = self.classes.get_mut(usize::from(event.class)) else {
            return;
        };
        if let Some(first) = event.time_to_first_token {
            latency.ring.current(LATENCY, now).record(first);
        }
        self.series(now, event).add(now, event.verdict);
    }

    /// Returns what this host counted, for reports and for other hosts.
    pub fn snapshot(&self, now: time::Duration) -> snapshot::Snapshot {
        let mut snapshot = snapshot::Snapshot {
            hosts: 1,
            ..snapshot::Snapshot::default()
        };
        for latency in &self.classes {
            let mut objective = snapshot::Objective::new(latency.class.attainment);
            for histogram in latency.ring.live(LATENCY, now) {
                objective.latency.merge(histogram);
            }
            snapshot
                .classes
                .insert(latency.class.name.clone(), objective);
        }
        for ((class, _), series) in &self.series {
            let Some(latency) = self.classes.get(usize::from(*class)) else {
                continue;
            };
            snapshot.add(&latency.class.name, &series.team, &series.totals(now));
        }
        snapshot
    }

    /// Returns the number of series, including those with the name `other`.
    pub fn len(&self) -> usize {
        self.series.len()
    }

    /// Returns whether no request was counted.
    pub fn is_empty(&self) -> bool {
        self.series.is_empty()
    }

    /// Returns the size of one series and its entry in bytes, without the name
    /// of its team.
    pub const fn series_bytes() -> usize {
        size_of::<series::Series>() + size_of::<((u16, Who), Box<series::Series>)>()
    }

    fn series(&mut self, now: time::Duration, event: &event::Event<'_>) -> &mut series::Series {
        let own = (event.class, Who::Team(event.team_key));
        let key = match self.series.contains_key(&own) || self.has_room(now) {
            true => own,
            false => (event.class, Who::Other),
        };
        let teams = &mut self.teams;
        self.series.entry(key).or_insert_with(|| {
            let name = match key.1 {
                Who::Team(_) => event.team,
                Who::Other => OTHER,
            };
            *teams += usize::from(key.1 != Who::Other);
            Box::new(series::Series::new(name, now))
        })
    }

    /// Returns whether a new series fits, after dropping series whose requests
    /// have left every window.
    fn has_room(&mut self, now: time::Duration) -> bool {
        let due = self.swept.is_none_or(|swept| now >= swept + SWEEP_INTERVAL);
        if self.teams >= self.series_max && due {
            self.swept = Some(now);
            let longest = window::Window::Days3.length();
            self.series
                .retain(|_, series| now.saturating_sub(series.last) < longest);
            self.count_teams();
        }
        self.teams < self.series_max
    }

    fn count_teams(&mut self) {
        let keys = self.series.keys();
        self.teams = keys.filter(|(_, who)| *who != Who::Other).count();
    }
}

impl Latency {
    fn new(class: class::Class, now: time::Duration) -> Self {
        Self {
            class,
            ring: ring::Ring::new(LATENCY, now),
        }
    }
}
