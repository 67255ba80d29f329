//! The time of one decision at several sizes of a pool.
#![allow(missing_docs)]

#[path = "support/sized_policy.rs"]
mod sized_policy;

use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{
    AttemptEnd, ClassIx, CustomerIx, Effect, KindIx, NoLog, Offer, Pool, PoolContext, Scheduler,
};
use bridgevane_types::{AttemptNumber, RequestId, TimeMs, Tokens};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use sized_policy::{CUSTOMERS, TIERS, policy};

fn offer(id: u64) -> Offer {
    Offer {
        request: RequestId(u128::from(id)),
        class: ClassIx((id % u64::from(TIERS)) as u16),
        customer: CustomerIx((id % u64::from(CUSTOMERS)) as u32),
        kind: KindIx(0),
        prompt_tokens: Tokens(1_000),
        max_tokens: Tokens(1_024),
        blocks: (0..16).map(|block| ((id % 500) << 8) | block).collect(),
        block_tokens: 64,
        fingerprint: None,
        is_repeatable: true,
        is_preemptible: true,
    }
}

struct Bench {
    pool: Pool,
    settings: Settings,
    effects: Vec<Effect>,
    next: u64,
    running: std::collections::VecDeque<(RequestId, AttemptNumber)>,
}

impl Bench {
    /// Creates a pool with `in_flight` running requests.
    fn new(engines: u32, in_flight: u64) -> Self {
        let settings = Settings::default();
        let slots = (in_flight as u32).div_ceil(engines) + 1;
        let mut bench = Self {
            pool: Pool::new(policy(engines, slots), &settings, 1),
            settings,
            effects: Vec::new(),
            next: 0,
            running: std::collections::VecDeque::new(),
        };
        for _ in 0..in_flight {
            bench.offer_next();
        }
        bench
    }

    fn decide(&mut self, decide: impl FnOnce(&mut Pool, &mut PoolContext<'_, NoLog>)) {
        let mut context = PoolContext {
            now: TimeMs(self.next),
            settings: &self.settings,
            effects: &mut self.effects,
            log: &mut NoLog,
        };
        decide(&mut self.pool, &mut context);
        for effect in self.effects.drain(..) {
            if let Effect::Dispatch {
                request, attempt, ..
            } = effect
            {
                self.running.push_back((request, attempt));
            }
        }
    }

    fn offer_next(&mut self) {
        self.next += 1;
        let offer = offer(self.next);
        self.decide(|pool, context| pool.offer(context, offer));
    }

    /// Offers one request and finishes the oldest one, so that the size of the state stays the
    /// same.
    fn offer_and_finish(&mut self) {
        self.offer_next();
        if let Some((request, attempt)) = self.running.pop_front() {
            let end = AttemptEnd::Done(Tokens(150));
            self.decide(|pool, context| pool.attempt_ended(context, request, attempt, end));
        }
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("offer_and_finish");
    for engines in [12, 120, 850] {
        let in_flight = if engines == 850 {
            10_000
        } else {
            u64::from(engines) * 12
        };
        let mut bench = Bench::new(engines, in_flight);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| bench.offer_and_finish());
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("tick");
    for engines in [12, 120, 850] {
        let in_flight = if engines == 850 {
            10_000
        } else {
            u64::from(engines) * 12
        };
        let mut bench = Bench::new(engines, in_flight);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter_batched(
                || (),
                |()| {
                    bench.next += 20;
                    bench.decide(|pool, context| pool.tick(context));
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

/// Measures high percentiles of the decision time, which the mean hides.
fn tail_latency(criterion: &mut Criterion) {
    let mut bench = Bench::new(850, 10_000);
    let mut times_ns: Vec<u64> = Vec::new();
    criterion.bench_function("offer_and_finish/850/p99_sampled", |bencher| {
        bencher.iter_custom(|iterations| {
            let started = std::time::Instant::now();
            for _ in 0..iterations {
                let decision_started = std::time::Instant::now();
                bench.offer_and_finish();
                times_ns.push(decision_started.elapsed().as_nanos() as u64);
            }
            started.elapsed()
        });
    });
    times_ns.sort_unstable();
    let percentile = |fraction: f64| times_ns[((times_ns.len() - 1) as f64 * fraction) as usize];
    println!(
        "offer_and_finish/850: {} samples, p50 {} ns, p99 {} ns, p99.9 {} ns",
        times_ns.len(),
        percentile(0.5),
        percentile(0.99),
        percentile(0.999),
    );
}

criterion_group!(benches, decisions, tail_latency);
criterion_main!(benches);
