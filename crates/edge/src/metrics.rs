//! Counters, gauges and latency histograms, recorded through `cadence`.

use core::time;
use std::collections;
use std::fmt::Write as _;
use std::io;
use std::sync;

use base::mutex;
use cadence::prelude::*;

/// Longest time that a histogram distinguishes; longer times count as this.
const TIME_MAX_MS: u64 = 120_000;

/// Most series that are kept. Values of further series are dropped and counted
/// as `series_left_out`.
const SERIES_MAX: usize = 2_000;

/// Quantiles that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

#[derive(Debug)]
enum Series {
    Count(u64),
    Gauge(u64),
    Times(Box<hdrhistogram::Histogram<u32>>),
}

type Store = sync::Mutex<collections::BTreeMap<String, Series>>;

/// Stores the metrics that the client emits.
#[derive(Debug)]
struct Sink(sync::Arc<Store>);

impl cadence::MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some((name, value, kind)) = parse(metric) {
            record(&mut mutex::lock(&self.0), name, value, kind);
        }
        Ok(metric.len())
    }
}

/// Splits `name:value|kind|#tag:value,..` into series name, value and kind.
fn parse(metric: &str) -> Option<(String, u64, &str)> {
    let (name, rest) = metric.split_once(':')?;
    let mut fields = rest.split('|');
    let value = fields.next()?.parse().ok()?;
    let kind = fields.next()?;
    let mut series = name.to_owned();
    if let Some(tags) = fields.find_map(|field| field.strip_prefix('#')) {
        series.push('{');
        for (index, tag) in tags.split(',').enumerate() {
            let (key, value) = tag.split_once(':').unwrap_or((tag, ""));
            let comma = if index > 0 { "," } else { "" };
            // Writing to a string does not fail.
            let _ = write!(series, "{comma}{key}=\"{value}\"");
        }
        series.push('}');
    }
    Some((series, value, kind))
}

fn record(store: &mut collections::BTreeMap<String, Series>, name: String, value: u64, kind: &str) {
    let is_new = !store.contains_key(&name);
    if is_new && store.len() >= SERIES_MAX {
        let left_out = store
            .entry("series_left_out".to_owned())
            .or_insert(Series::Count(0));
        if let Series::Count(count) = left_out {
            *count += 1;
        }
        return;
    }
    match kind {
        "c" => {
            if let Series::Count(count) = store.entry(name).or_insert(Series::Count(0)) {
                *count += value;
            }
        }
        "g" => {
            store.insert(name, Series::Gauge(value));
        }
        _ => {
            let series = store.entry(name).or_insert_with(|| {
                // PANIC: The bounds are constants that the library accepts.
                let times = hdrhistogram::Histogram::new_with_bounds(1, TIME_MAX_MS, 2)
                    .expect("valid bounds");
                Series::Times(Box::new(times))
            });
            if let Series::Times(times) = series {
                times.saturating_record(value.max(1));
            }
        }
    }
}

/// Metrics of one host. Tags become labels, and each combination of name and
/// tags is a series of its own. Names get the prefix `carobbay.`.
#[derive(Debug)]
pub struct Recorder {
    client: cadence::StatsdClient,
    store: sync::Arc<Store>,
}

impl Default for Recorder {
    fn default() -> Self {
        let store = sync::Arc::new(Store::default());
        Self {
            client: cadence::StatsdClient::from_sink("carobbay", Sink(store.clone())),
            store,
        }
    }
}

impl Recorder {
    /// Adds one to a counter.
    pub fn count(&self, name: &str, tags: &[(&str, &str)]) {
        self.add(name, tags, 1);
    }

    /// Adds a number to a counter.
    pub fn add(&self, name: &str, tags: &[(&str, &str)], number: u64) {
        let mut metric = self.client.count_with_tags(name, number);
        for &(key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Sets the value of a gauge.
    pub fn set(&self, name: &str, tags: &[(&str, &str)], value: u64) {
        let mut metric = self.client.gauge_with_tags(name, value);
        for &(key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Records a duration in a histogram, in whole milliseconds but at least 1.
    pub fn time(&self, name: &str, tags: &[(&str, &str)], took: time::Duration) {
        // CAST: A process does not run long enough to exceed the range.
        let mut metric = self.client.time_with_tags(name, took.as_millis() as u64);
        for &(key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Returns all metrics as text, one value per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, series) in &*mutex::lock(&self.store) {
            match series {
                // Writing to a string does not fail.
                Series::Count(value) | Series::Gauge(value) => {
                    let _ = writeln!(text, "{name} {value}");
                }
                Series::Times(times) => quantiles(&mut text, name, times),
            }
        }
        text
    }
}

fn quantiles(text: &mut String, name: &str, times: &hdrhistogram::Histogram<u32>) {
    let (base, tags) = match name.split_once('{') {
        Some((base, tags)) => (base, tags.trim_end_matches('}')),
        None => (name, ""),
    };
    let comma = if tags.is_empty() { "" } else { "," };
    for quantile in QUANTILES {
        let value = times.value_at_quantile(quantile);
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{base}{{{tags}{comma}quantile=\"{quantile}\"}} {value}"
        );
    }
    let _ = writeln!(text, "{base}_count{{{tags}}} {}", times.len());
}
