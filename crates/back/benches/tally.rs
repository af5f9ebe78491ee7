//! Benchmark of `EventCounter`, which counts the events of a relayed stream.

use std::hint;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};

/// Size of one event, including its blank line.
const EVENT_BYTES: usize = 200;
/// Number of events in a stream.
const EVENTS: usize = 1_000;

fn stream() -> Vec<u8> {
    let mut event = b"data: {\"choices\":[{\"delta\":{\"content\":\"".to_vec();
    event.resize(EVENT_BYTES - 6, b'x');
    event.extend_from_slice(b"\"}}]\n\n");
    assert_eq!(event.len(), EVENT_BYTES);
    event.repeat(EVENTS)
}

/// Measures chunks of a part of an event, of one event and of many events.
fn push(criterion: &mut Criterion) {
    let stream = stream();
    for (unit, throughput) in [
        ("bytes", Throughput::Bytes(stream.len() as u64)),
        ("tokens", Throughput::Elements(EVENTS as u64)),
    ] {
        let mut group = criterion.benchmark_group(unit);
        group.throughput(throughput);
        for chunk in [17, EVENT_BYTES, 16 * 1024] {
            group.bench_function(BenchmarkId::from_parameter(chunk), |bencher| {
                bencher.iter(|| count(&stream, chunk));
            });
        }
        group.finish();
    }
}

fn count(stream: &[u8], chunk_bytes: usize) {
    let mut counter = back::EventCounter::default();
    for part in hint::black_box(stream).chunks(chunk_bytes) {
        counter.push(part);
    }
    assert_eq!(hint::black_box(counter.tokens()) as usize, EVENTS);
}

criterion_group!(benches, push);
criterion_main!(benches);
