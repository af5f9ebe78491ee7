use core::time;

use crate::endpoint;
use crate::table;

/// Totals of the runs of one endpoint that have no output yet.
#[derive(Clone, Copy, Default)]
struct Pending {
    /// Number of these runs.
    waiting: u32,
    /// Number of those that are overdue.
    overdue: u32,
    /// Sum of their ages, each divided by the mean of its class.
    ratio: f64,
    /// Whether an overdue run exceeds the outlier threshold of its class.
    is_outlier: bool,
}

impl table::Table {
    /// Ends the pauses of endpoints that are over at `now`.
    pub fn end_pauses(&mut self, now: time::Duration) {
        for index in 0..self.candidates.len() {
            let key = self.candidates[index].key;
            if self.endpoints[key].health.end_pause(now) {
                self.refresh(key);
            }
        }
    }

    /// Ends pauses and, every 100 ms, updates limits, weights and ejections.
    ///
    /// May be called more often.
    pub fn tick(&mut self, now: time::Duration) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.health.end_pause(now);
        }
        if now >= self.last_update + UPDATE_INTERVAL {
            self.last_update = now;
            self.update_runs(now);
            self.update_endpoints(now);
        }
        self.refresh_all();
    }

    /// Finds runs that have become long and first tokens that are late.
    fn update_runs(&mut self, now: time::Duration) {
        let mut pending = vec![Pending::default(); self.candidates.len()];
        let bound = f64::from(self.options.long_tokens);
        for run in self.runs.values_mut() {
            let endpoint = &mut self.endpoints[run.endpoint];
            let target = run.request.target_gap.map(|gap| gap.as_secs_f64());
            let gap = endpoint
                .seconds_per_token
                .get()
                .or(target)
                .filter(|&gap| gap > 0.0);
            if let Some(gap) = gap
                && !run.is_long
                && run.attained_tokens(now, gap) > bound
            {
                run.is_long = true;
                endpoint.long += 1;
                self.long += 1;
            }
            if run.first_output_at.is_some() {
                continue;
            }
            let age = now.saturating_sub(run.granted_at);
            let class = usize::from(run.request.class);
            if age > run.request.target_first.mul_f64(table::FIRST_TARGET_SHARE) && !run.is_late {
                run.is_late = true;
                endpoint.limit.observe(run.granted_at, class, true);
            }
            let Some(latency) = self.first_latencies.get(class) else {
                continue;
            };
            let (Some(mean), Some(threshold)) = (latency.mean(), latency.outlier_threshold())
            else {
                continue;
            };
            let age = age.as_secs_f64();
            let ratio = age / mean.max(f64::MIN_POSITIVE);
            let entry = &mut pending[endpoint.candidate_index];
            entry.waiting += 1;
            if ratio > OVERDUE_RATIO {
                entry.overdue += 1;
                entry.ratio += ratio;
                entry.is_outlier |= age > threshold;
            }
        }
        for (candidate, pending) in self.candidates.iter().zip(pending) {
            let is_significant = pending.is_outlier || pending.overdue >= OVERDUE_MIN;
            if is_significant && pending.overdue > 0 && pending.overdue * 2 > pending.waiting {
                let ratio = pending.ratio / f64::from(pending.overdue);
                self.endpoints[candidate.key]
                    .speed
                    .observe_overdue(now, ratio);
            }
        }
    }

    /// Updates the limit, the weight and the ejection of each endpoint.
    fn update_endpoints(&mut self, now: time::Duration) {
        let open: Vec<&endpoint::Endpoint> = (self.endpoints.values())
            .filter(|endpoint| endpoint.is_open())
            .collect();
        let mut ejected = open
            .iter()
            .filter(|endpoint| endpoint.speed.is_ejected())
            .count();
        let ejected_max = open.len() / EJECTED_DIVISOR;
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
            let may_eject = ejected < ejected_max && endpoint.is_open();
            ejected += usize::from(endpoint.speed.update(now, median, may_eject));
            if now.saturating_sub(endpoint.reported_at) > REPORT_AGE_MAX {
                endpoint.foreign = 0;
            }
        }
    }
}

/// Time between two updates of limits, weights and ejections.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// At most one in this many endpoints is ejected.
const EJECTED_DIVISOR: usize = 3;

/// Multiple of the mean of its class above which a pending first token is
/// overdue.
const OVERDUE_RATIO: f64 = 2.5;

/// Overdue first tokens from which an endpoint counts as slow, unless one is an
/// outlier; a single one may belong to a large prompt.
const OVERDUE_MIN: u32 = 2;

/// Age after which a load report no longer counts for foreign load.
const REPORT_AGE_MAX: time::Duration = time::Duration::from_secs(10);
