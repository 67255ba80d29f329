//! The cost of reading the clock that counts suspension, compared with the monotonic clock.
#![allow(missing_docs)]

use bridgevane_types::boot_time;
use criterion::{Criterion, criterion_group, criterion_main};
use std::time::Instant;

/// The number of reads per sample, which hides the granularity of the measuring clock.
const READS: u32 = 100;
const SAMPLES: usize = 20_000;

/// Returns the median and the 99th percentile of the time of one read, in nanoseconds.
fn percentiles(read_clock: impl Fn()) -> (f64, f64) {
    let mut times: Vec<f64> = (0..SAMPLES)
        .map(|_| {
            let started = Instant::now();
            (0..READS).for_each(|_| read_clock());
            started.elapsed().as_nanos() as f64 / f64::from(READS)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[SAMPLES / 2], times[SAMPLES * 99 / 100])
}

fn clocks(bench: &mut Criterion) {
    bench.bench_function("steady clock", |bench| bench.iter(Instant::now));
    bench.bench_function("clock that counts suspension", |bench| {
        bench.iter(boot_time)
    });
    let monotonic = percentiles(|| {
        std::hint::black_box(Instant::now());
    });
    let boot = percentiles(|| {
        std::hint::black_box(boot_time());
    });
    println!("one read, p50 and p99 in ns: monotonic {monotonic:?}, counting suspension {boot:?}");
}

criterion_group!(benches, clocks);
criterion_main!(benches);
