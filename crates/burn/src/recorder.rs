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

/// Name of the series for teams beyond the maximum number of series.
const OTHER_TEAMS: &str = "other";

/// Window over which latencies are recorded.
const LATENCY_WINDOW: window::Window = window::Window::Hour;

/// Minimum time between two searches for idle series.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Counts the requests of one host per class and team in every window.
///
/// All times are durations since one fixed start, such as that of the process.
#[derive(Clone, Debug)]
pub struct Recorder {
    classes: Vec<Latency>,
    /// Series by position of the class and team. They are boxed because a growing map
    /// has up to twice as many slots as entries.
    series: collections::HashMap<(u16, Scope), Box<series::Series>>,
    /// Number of series of single teams, which `series_max` limits.
    team_series: usize,
    series_max: usize,
    last_sweep: Option<time::Duration>,
}

/// Team or teams that a series counts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Scope {
    Team(u32),
    Other,
}

/// Class with its latencies.
#[derive(Clone, Debug)]
struct Latency {
    class: class::Class,
    ring: ring::Ring<histogram::Histogram>,
}

impl Recorder {
    /// Returns a recorder without requests.
    pub fn new(options: options::Options, now: time::Duration) -> Self {
        let latency = |class| Latency::new(class, now);
        Self {
            classes: options.classes.into_iter().map(latency).collect(),
            series: collections::HashMap::new(),
            team_series: 0,
            series_max: options.series_max,
            last_sweep: None,
        }
    }

    /// Replaces the classes. Series and latencies of a class move to its new position
    /// by name; those of removed classes are dropped.
    pub fn set_classes(&mut self, classes: Vec<class::Class>, now: time::Duration) {
        let mut previous = collections::HashMap::new();
        for (index, latency) in core::mem::take(&mut self.classes).into_iter().enumerate() {
            previous.insert(latency.class.name.clone(), (index, latency.ring));
        }
        let mut new_indexes = collections::HashMap::new();
        for (index, class) in classes.into_iter().enumerate() {
            let mut latency = Latency::new(class, now);
            if let Some((old, ring)) = previous.remove(&latency.class.name) {
                latency.ring = ring;
                new_indexes.insert(old, index);
            }
            self.classes.push(latency);
        }
        let new_index = |class: u16| new_indexes.get(&usize::from(class)).copied();
        let series = core::mem::take(&mut self.series).into_iter();
        self.series = series
            .filter_map(|((class, scope), series)| {
                let class = u16::try_from(new_index(class)?).ok()?;
                Some(((class, scope), series))
            })
            .collect();
        self.count_team_series();
    }

    /// Counts one request. An event whose class is out of range, which can occur while
    /// the classes change, is dropped.
    pub fn record(&mut self, now: time::Duration, event: &event::Event<'_>) {
        let Some(latency) = self.classes.get_mut(usize::from(event.class)) else {
            return;
        };
        if let Some(time_to_first_token) = event.time_to_first_token {
            latency
                .ring
                .current(LATENCY_WINDOW, now)
                .record(time_to_first_token);
        }
        self.series(now, event).add(now, event.verdict);
    }

    /// Returns the counts at `now`, as those of one host.
    pub fn snapshot(&self, now: time::Duration) -> snapshot::Snapshot {
        let mut snapshot = snapshot::Snapshot {
            hosts: 1,
            ..snapshot::Snapshot::default()
        };
        for latency in &self.classes {
            let mut objective = snapshot::Objective::new(latency.class.attainment);
            for histogram in latency.ring.covered(LATENCY_WINDOW, now) {
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

    /// Returns the number of series, including those named `other`.
    pub fn len(&self) -> usize {
        self.series.len()
    }

    /// Returns whether there is no series, as before the first request.
    pub fn is_empty(&self) -> bool {
        self.series.is_empty()
    }

    /// Returns the size of one series and its entry in bytes, without the name
    /// of its team.
    pub const fn series_bytes() -> usize {
        size_of::<series::Series>() + size_of::<((u16, Scope), Box<series::Series>)>()
    }

    fn series(&mut self, now: time::Duration, event: &event::Event<'_>) -> &mut series::Series {
        let own = (event.class, Scope::Team(event.team_key));
        let key = match self.series.contains_key(&own) || self.has_room(now) {
            true => own,
            false => (event.class, Scope::Other),
        };
        let team_series = &mut self.team_series;
        self.series.entry(key).or_insert_with(|| {
            let name = match key.1 {
                Scope::Team(_) => event.team,
                Scope::Other => OTHER_TEAMS,
            };
            *team_series += usize::from(key.1 != Scope::Other);
            Box::new(series::Series::new(name, now))
        })
    }

    /// Returns whether another series of a single team is allowed. Before it returns
    /// `false`, it drops series whose requests have left every window, at most once per
    /// `SWEEP_INTERVAL`.
    fn has_room(&mut self, now: time::Duration) -> bool {
        let is_due = self
            .last_sweep
            .is_none_or(|last_sweep| now >= last_sweep + SWEEP_INTERVAL);
        if self.team_series >= self.series_max && is_due {
            self.last_sweep = Some(now);
            let longest = window::Window::Days3.length();
            self.series
                .retain(|_, series| now.saturating_sub(series.last_request) < longest);
            self.count_team_series();
        }
        self.team_series < self.series_max
    }

    fn count_team_series(&mut self) {
        let keys = self.series.keys();
        self.team_series = keys.filter(|(_, scope)| *scope != Scope::Other).count();
    }
}

impl Latency {
    fn new(class: class::Class, now: time::Duration) -> Self {
        Self {
            class,
            ring: ring::Ring::new(LATENCY_WINDOW, now),
        }
    }
}
