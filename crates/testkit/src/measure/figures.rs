use core::time;
use std::collections;

use crate::load;
use crate::load::Outcome;
use crate::measure::class::{Class, Work};
use crate::measure::cluster::Cluster;
use crate::measure::percentile::percentile;
use crate::measure::shape::Shape;
use crate::measure::slowdown::Slowdown;
use crate::measure::table::Table;
use crate::measure::tokens::Tokens;

/// Inputs from which the figures of a run are computed.
pub(crate) struct Figures<'a> {
    pub(crate) shape: &'a Shape,
    pub(crate) flows: &'a [load::Flow],
    pub(crate) samples: &'a [load::Sample],
    pub(crate) slowdowns: &'a [Slowdown],
    /// Time during which requests arrived.
    pub(crate) span: time::Duration,
    /// Tokens that the engines generated during `span`.
    pub(crate) tokens: Tokens,
}

impl Figures<'_> {
    /// Adds all figures to the table.
    pub(crate) fn add(&self, cluster: &Cluster, table: &mut Table) {
        let mut late: Vec<_> = self.samples.iter().map(|sample| sample.late).collect();
        table.set_some("sent_late_p99_ms", percentile(&mut late, 0.99));
        for class in &self.shape.classes {
            self.class(class, table);
        }
        self.crest_and_slowdowns(table);
        self.tokens(table);
        self.short_waits(table);
        self.teams(table);
        self.refusals(table);
        self.faults(cluster, table);
    }

    fn samples_of<'a>(
        &'a self,
        class: &'a Class,
    ) -> impl Iterator<Item = &'a load::Sample> + Clone {
        let flows = self.flows;
        self.samples
            .iter()
            .filter(move |sample| flows[sample.arrival.flow].class == class.name)
    }

    /// Returns whether the complete answer was received within the span of the arrivals.
    ///
    /// Rates exclude later answers, because the load decreases at the end of a run.
    fn is_in_time(&self, sample: &load::Sample) -> bool {
        let end = sample.arrival.at + sample.record.total;
        sample.record.outcome.is_whole() && end <= self.span
    }

    fn class(&self, class: &Class, table: &mut Table) {
        let name = class.name;
        let samples = self.samples_of(class);
        table.set(format!("sent.{name}"), samples.clone().count() as f64);
        table.set(
            format!("attainment.{name}"),
            attainment(class, samples.clone()),
        );
        table.set(
            format!("refused_share.{name}"),
            refused_share(samples.clone()),
        );
        latency("", class, samples.clone(), table);
        let tokens = samples
            .filter(|sample| self.is_in_time(sample) && meets_targets(class, sample))
            .map(|sample| f64::from(sample.record.tokens));
        if matches!(class.work, Work::Model { .. }) {
            let rate = tokens.sum::<f64>() / self.span.as_secs_f64();
            table.set(format!("goodput_tokens_per_s.{name}"), rate);
        }
    }

    /// Adds the figures of the crest and of the intervals with slow endpoints.
    fn crest_and_slowdowns(&self, table: &mut Table) {
        for class in &self.shape.classes {
            let name = class.name;
            let crest = self.samples_of(class).filter(|sample| {
                let flow = &self.flows[sample.arrival.flow];
                flow.swing.is_crest(sample.arrival.at)
            });
            table.set(
                format!("crest_attainment.{name}"),
                attainment(class, crest.clone()),
            );
            table.set(format!("crest_refused_share.{name}"), refused_share(crest));
            let slowed = self
                .samples_of(class)
                .filter(|sample| Slowdown::covers(self.slowdowns, sample.arrival.at));
            if slowed.clone().next().is_some() {
                let share = attainment(class, slowed.clone());
                table.set(format!("slowed_attainment.{name}"), share);
                latency("slowed_", class, slowed, table);
            }
        }
    }

    fn tokens(&self, table: &mut Table) {
        let seconds = self.span.as_secs_f64();
        let mut good = 0.0;
        let mut late = 0.0;
        for class in &self.shape.classes {
            for sample in self
                .samples_of(class)
                .filter(|sample| self.is_in_time(sample))
            {
                let model = matches!(class.work, Work::Model { .. });
                let tokens = f64::from(sample.record.tokens) * f64::from(u8::from(model));
                *if meets_targets(class, sample) {
                    &mut good
                } else {
                    &mut late
                } += tokens;
            }
        }
        let wasted = self.tokens.wasted as f64;
        let generated = self.tokens.generated as f64;
        table.set("generated_tokens_per_s", generated / seconds);
        table.set("goodput_tokens_per_s", good / seconds);
        table.set("off_target_tokens_per_s", late / seconds);
        table.set("wasted_tokens_per_s", wasted / seconds);
        table.set("wasted_share", wasted / generated);
        table.set("lost_tokens_per_s", self.tokens.lost as f64 / seconds);
    }

    /// Adds the wait of the class with short answers, which long requests may delay.
    fn short_waits(&self, table: &mut Table) {
        let samples = self.samples_of(&self.shape.classes[0]);
        let mut waits: Vec<_> = samples.filter_map(|sample| sample.record.first).collect();
        table.set_some("short_wait_p50_ms", percentile(&mut waits, 0.5));
        table.set_some("short_wait_p99_ms", percentile(&mut waits, 0.99));
    }

    fn teams(&self, table: &mut Table) {
        for (index, flow) in self.flows.iter().enumerate() {
            let class = self
                .shape
                .classes
                .iter()
                .find(|class| class.name == flow.class);
            let Some(class) = class else {
                continue;
            };
            let samples = self.samples.iter();
            let samples = samples.filter(|sample| sample.arrival.flow == index);
            let share = attainment(class, samples);
            table.set(format!("team_attainment.{}", flow.team), share);
        }
    }

    fn refusals(&self, table: &mut Table) {
        let mut waits = Vec::new();
        for sample in self.samples {
            let Outcome::Refused {
                status,
                kind,
                retry_after,
                ..
            } = &sample.record.outcome
            else {
                continue;
            };
            waits.push(sample.record.total);
            let kind = if kind.is_empty() { "unnamed" } else { kind };
            table.increment(format!("refusals.{kind}"));
            if retry_after.is_none() && matches!(status, 429 | 503) {
                table.increment("refusals_without_retry_after");
            }
        }
        table.set_some("refusal_wait_p50_ms", percentile(&mut waits, 0.5));
        table.set_some("refusal_wait_p99_ms", percentile(&mut waits, 0.99));
    }

    /// Adds the counts of faults. Damaged answers, repeated effects of one key and executions
    /// of refused requests must be zero.
    fn faults(&self, cluster: &Cluster, table: &mut Table) {
        let count = |wanted: &dyn Fn(&Outcome) -> bool| {
            let outcomes = self.samples.iter().map(|sample| &sample.record.outcome);
            outcomes.filter(|outcome| wanted(outcome)).count() as f64
        };
        let broken = count(&|outcome| matches!(outcome, Outcome::Broken(_)));
        let damaged =
            count(&|outcome| matches!(outcome, Outcome::Answered(_)) && !outcome.is_whole());
        let overdue = self.samples.iter().filter(|sample| {
            sample.record.outcome == Outcome::Cancelled && sample.arrival.hangup.is_none()
        });
        table.set("unanswered", overdue.count() as f64);
        table.set("broken", broken);
        for sample in self.samples {
            if let Outcome::Broken(reason) = &sample.record.outcome {
                table.increment(format!("broken.{reason}"));
            }
        }
        table.set("damaged", damaged);
        let services = cluster.services.iter().map(|(_, service)| service);
        let mut effects = collections::HashMap::<String, u32>::new();
        for execution in services.flat_map(|service| service.executions()) {
            if let Some(key) = execution.key {
                *effects.entry(key).or_default() += 1;
            }
        }
        let repeated = effects.values().filter(|&&count| count > 1).count();
        table.set("doubled_effects", repeated as f64);
        let engines = cluster.engines.iter().flat_map(|engine| engine.runs());
        let keys = effects.into_keys();
        let keys = keys.filter_map(|key| key.strip_prefix("key-").map(str::to_owned));
        let ran: collections::HashSet<_> = engines.chain(keys).collect();
        let refused = self.samples.iter().filter(|sample| {
            let outcome = &sample.record.outcome;
            matches!(outcome, Outcome::Refused { run_state, .. } if run_state == "not_run")
                && ran.contains(&sample.tag)
        });
        table.set("refused_but_ran", refused.count() as f64);
    }
}

/// Returns whether the complete answer was received within the targets of its class.
fn meets_targets(class: &Class, sample: &load::Sample) -> bool {
    let record = &sample.record;
    let first = record.first.is_some_and(|first| first <= class.first);
    let gap = class
        .gap
        .zip(record.mean_gap())
        .is_none_or(|(target, gap)| gap <= target);
    record.outcome.is_whole() && first && gap
}

/// Returns the fraction of requests that attain the targets, excluding callers that hung up
/// as planned.
fn attainment<'a>(class: &Class, samples: impl Iterator<Item = &'a load::Sample>) -> f64 {
    let mut all = 0.0;
    let mut good = 0.0;
    for sample in samples {
        if sample.record.outcome == Outcome::Cancelled && sample.arrival.hangup.is_some() {
            continue;
        }
        all += 1.0;
        good += f64::from(u8::from(meets_targets(class, sample)));
    }
    good / all
}

/// Returns the fraction of requests that were refused.
fn refused_share<'a>(samples: impl Iterator<Item = &'a load::Sample>) -> f64 {
    let mut all = 0.0;
    let mut refused = 0.0;
    for sample in samples {
        all += 1.0;
        let outcome = &sample.record.outcome;
        refused += f64::from(u8::from(matches!(outcome, Outcome::Refused { .. })));
    }
    refused / all
}

/// Adds percentiles of the time to the first token, the queueing time and the time between
/// tokens.
fn latency<'a>(
    prefix: &str,
    class: &Class,
    samples: impl Iterator<Item = &'a load::Sample> + Clone,
    table: &mut Table,
) {
    let name = class.name;
    let records = samples.map(|sample| &sample.record);
    let mut firsts: Vec<_> = records.clone().filter_map(|record| record.first).collect();
    for (share, rank) in [(0.5, "p50"), (0.95, "p95"), (0.99, "p99")] {
        let first = percentile(&mut firsts, share);
        table.set_some(format!("{prefix}first_{rank}_ms.{name}"), first);
    }
    let queued = records.clone().filter_map(|record| record.queued);
    let mut queued: Vec<_> = queued.collect();
    let gaps = records.flat_map(|record| record.gaps.iter().copied());
    let mut gaps: Vec<_> = gaps.collect();
    for (share, rank) in [(0.5, "p50"), (0.99, "p99")] {
        let queue = percentile(&mut queued, share);
        table.set_some(format!("{prefix}queue_{rank}_ms.{name}"), queue);
        let gap = percentile(&mut gaps, share);
        table.set_some(format!("{prefix}gap_{rank}_ms.{name}"), gap);
    }
}
