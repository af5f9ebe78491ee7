use core::time;

use crate::endpoint;
use crate::table;

/// What the runs of one endpoint add up to.
#[derive(Clone, Copy, Default)]
struct Pending {
    waiting: u32,
    overdue: u32,
    ratio: f64,
    /// One of them is later than hardly any request.
    rare: bool,
}

impl table::Table {
    /// Ends the pauses whose time has come.
    pub fn end_pauses(&mut self, now: time::Duration) {
        for index in 0..self.hot.len() {
            let key = self.hot[index].key;
            if self.endpoints[key].health.wake(now) {
                self.refresh(key);
            }
        }
    }

    /// Updates limits, weights and ejections. Request is done every 100 ms;
    /// pauses end at any call.
    pub fn tick(&mut self, now: time::Duration) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.health.wake(now);
        }
        if now >= self.watched + STEP {
            self.watched = now;
            self.watch_runs(now);
            self.watch_endpoints(now);
        }
        self.refresh_all();
    }

    /// Finds runs that became long and first tokens that are late.
    fn watch_runs(&mut self, now: time::Duration) {
        let mut pending = vec![Pending::default(); self.hot.len()];
        let bound = f64::from(self.options.long_tokens);
        for run in self.runs.values_mut() {
            let endpoint = &mut self.endpoints[run.endpoint];
            let target = run.work.target_gap.map(|gap| gap.as_secs_f64());
            let gap = endpoint.gap.get().or(target).filter(|&gap| gap > 0.0);
            if let Some(gap) = gap
                && !run.long
                && run.attained(now, gap) > bound
            {
                run.long = true;
                endpoint.long += 1;
                self.long += 1;
            }
            if run.first.is_some() {
                continue;
            }
            let age = now.saturating_sub(run.granted);
            let class = usize::from(run.work.class);
            if age > run.work.target_first.mul_f64(table::FIRST_PART) && !run.late {
                run.late = true;
                endpoint.limit.observe(run.granted, class, true);
            }
            let Some(mean) = self.firsts.get(class) else {
                continue;
            };
            let (Some(usual), Some(rare)) = (mean.mean(), mean.rare()) else {
                continue;
            };
            let age = age.as_secs_f64();
            let ratio = age / usual.max(f64::MIN_POSITIVE);
            let slot = &mut pending[endpoint.position];
            slot.waiting += 1;
            if ratio > OVERDUE {
                slot.overdue += 1;
                slot.ratio += ratio;
                slot.rare |= age > rare;
            }
        }
        for (hot, pending) in self.hot.iter().zip(pending) {
            let enough = pending.rare || pending.overdue >= OVERDUE_MIN;
            if enough && pending.overdue > 0 && pending.overdue * 2 > pending.waiting {
                let ratio = pending.ratio / f64::from(pending.overdue);
                self.endpoints[hot.key].speed.overdue(now, ratio);
            }
        }
    }

    fn watch_endpoints(&mut self, now: time::Duration) {
        let open: Vec<&endpoint::Endpoint> = (self.endpoints.values())
            .filter(|endpoint| endpoint.open())
            .collect();
        let mut ejected = open
            .iter()
            .filter(|endpoint| endpoint.speed.ejected())
            .count();
        let most = open.len() / EJECTED_PART;
        let mut recent: Vec<f64> = (open.iter())
            .filter_map(|endpoint| endpoint.speed.recent())
            .collect();
        let middle = recent.len() / 2;
        let median = if recent.is_empty() {
            1.0
        } else {
            *recent.select_nth_unstable_by(middle, f64::total_cmp).1
        };
        for endpoint in self.endpoints.values_mut() {
            let slots = endpoint.slots();
            endpoint.limit.update(now, slots);
            let eject = ejected < most && endpoint.open();
            ejected += usize::from(endpoint.speed.step(now, median, eject));
            if now.saturating_sub(endpoint.report_at) > REPORT_MAX {
                endpoint.foreign = 0;
            }
        }
    }
}

/// Time between two updates.
const STEP: time::Duration = time::Duration::from_millis(100);

/// At most one in this many endpoints is ejected.
const EJECTED_PART: usize = 3;

/// Multiple of the class's mean at which a pending first token counts as slow.
const OVERDUE: f64 = 2.5;

/// Late first tokens that count unless one is very late; a single one may be a
/// large prompt.
const OVERDUE_MIN: u32 = 2;

/// Age at which a load report says nothing about foreign load any more.
const REPORT_MAX: time::Duration = time::Duration::from_secs(10);
