//! What a look at the clock costs: the clock that counts suspension beside the steady one.
#![allow(missing_docs)]

use bridgevane_types::boot_time;
use criterion::{Criterion, criterion_group, criterion_main};
use std::time::Instant;

/// Looks in one sample, so that the clock's own grain doesn't show.
const LOOKS: u32 = 100;
const SAMPLES: usize = 20_000;

/// Median and 99th percentile of one look, in nanoseconds.
fn percentiles(look: impl Fn()) -> (f64, f64) {
    let mut times: Vec<f64> = (0..SAMPLES)
        .map(|_| {
            let begun = Instant::now();
            (0..LOOKS).for_each(|_| look());
            begun.elapsed().as_nanos() as f64 / f64::from(LOOKS)
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
    let steady = percentiles(|| {
        std::hint::black_box(Instant::now());
    });
    let boot = percentiles(|| {
        std::hint::black_box(boot_time());
    });
    println!("one look, p50 and p99 in ns: steady {steady:?}, counting suspension {boot:?}");
}

criterion_group!(benches, clocks);
criterion_main!(benches);
