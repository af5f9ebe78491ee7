use core::time;
use std::collections;

use crate::record::end;
use crate::record::entry;
use crate::record::tally;

/// Number of counters of a host. Each has its own lock and counts some of the
/// teams.
pub(super) const COUNTERS: usize = 8;
/// Maximum number of series of a host.
const SERIES_MAX: usize = 4_096;
/// Maximum number of teams that one counter counts individually.
const TEAMS_MAX: usize = SERIES_MAX / COUNTERS;

/// Counts the requests of some of the teams.
pub(super) struct Counter {
    /// Sorted names of the classes; the position is the number in `recorder`.
    names: Vec<String>,
    recorder: burn::Recorder,
    classes: collections::HashMap<String, tally::Tally>,
    teams: collections::HashMap<u32, tally::Tally>,
}

impl Counter {
    pub(super) fn new(settings: &conf::Settings, now: time::Duration) -> Self {
        let options = burn::Options {
            classes: classes(settings),
            series_max: SERIES_MAX / COUNTERS,
        };
        Self {
            names: settings.classes.keys().cloned().collect(),
            recorder: burn::Recorder::new(options, now),
            classes: collections::HashMap::new(),
            teams: collections::HashMap::new(),
        }
    }

    pub(super) fn replace(&mut self, settings: &conf::Settings, now: time::Duration) {
        self.names = settings.classes.keys().cloned().collect();
        self.recorder.set_classes(classes(settings), now);
        self.classes
            .retain(|name, _| settings.classes.contains_key(name));
    }

    pub(super) fn add(&mut self, entry: &entry::Entry, now: time::Duration) {
        let Ok(class) = self
            .names
            .binary_search_by(|name| (**name).cmp(&entry.class))
        else {
            // The class was removed while the request ran.
            return;
        };
        if let Some(verdict) = entry.verdict(now) {
            let event = burn::Event {
                class: class as u16,
                team_key: entry.team_key,
                team: &entry.team,
                verdict,
                time_to_first_token: entry.first,
            };
            self.recorder.record(now, &event);
        }
        let tally = tally(entry);
        let class = self.classes.entry(entry.class.to_string());
        class.or_default().add(&tally);
        if self.teams.len() < TEAMS_MAX || self.teams.contains_key(&entry.team_key) {
            self.teams.entry(entry.team_key).or_default().add(&tally);
        }
    }

    pub(super) fn snapshot(&self, now: time::Duration) -> burn::Snapshot {
        self.recorder.snapshot(now)
    }

    pub(super) fn class(&self, name: &str) -> tally::Tally {
        self.classes.get(name).copied().unwrap_or_default()
    }

    pub(super) fn team(&self, key: u32) -> tally::Tally {
        self.teams.get(&key).copied().unwrap_or_default()
    }
}

fn tally(entry: &entry::Entry) -> tally::Tally {
    let mut tally = tally::Tally {
        tokens: entry.tokens.into(),
        ..tally::Tally::default()
    };
    match entry.end {
        Some(end::End::Done) => tally.served = 1,
        Some(end::End::Refused(answer::Kind::Shed)) => tally.shed = 1,
        Some(end::End::Refused(_)) => tally.refused = 1,
        _ => {}
    }
    tally
}

fn classes(settings: &conf::Settings) -> Vec<burn::Class> {
    let classes = settings.classes.iter();
    classes
        .map(|(name, class)| burn::Class {
            name: name.clone(),
            attainment: class.attainment,
        })
        .collect()
}
