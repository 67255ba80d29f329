//! The resident memory of a pool's state at several sizes.
//!
//! `cargo bench -p bridgevane-decisions --bench memory` prints the table of docs/CAPACITY.md.

#[path = "support/sized_policy.rs"]
mod sized_policy;

use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{
    AttemptEnd, ClassIx, CustomerIx, Effect, EndpointIx, KindIx, NoLog, Offer, Pool, PoolContext,
    Scheduler,
};
use bridgevane_types::{RequestId, TimeMs, Tokens};
use sized_policy::{CUSTOMERS, TIERS, policy};

const BLOCKS: u64 = 64;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

struct PoolFixture {
    pool: Pool,
    settings: Settings,
    effects: Vec<Effect>,
}

impl PoolFixture {
    fn new(engines: u32, slots: u32) -> Self {
        let settings = Settings::default();
        Self {
            pool: Pool::new(policy(engines, slots), &settings, 1),
            settings,
            effects: Vec::new(),
        }
    }

    fn decide(&mut self, decide: impl FnOnce(&mut Pool, &mut PoolContext<'_, NoLog>)) {
        let mut context = PoolContext {
            now: TimeMs(1),
            settings: &self.settings,
            effects: &mut self.effects,
            log: &mut NoLog,
        };
        decide(&mut self.pool, &mut context);
    }

    fn offer(&mut self, id: u64) {
        let offer = Offer {
            request: RequestId(u128::from(id)),
            class: ClassIx((id % u64::from(TIERS)) as u16),
            customer: CustomerIx((id % u64::from(CUSTOMERS)) as u32),
            kind: KindIx((id % u64::from(TIERS)) as u16),
            prompt_tokens: Tokens(1_000),
            max_tokens: Tokens(1_024),
            blocks: (0..BLOCKS).map(|block| (id << 8) | block).collect(),
            block_tokens: 64,
            fingerprint: None,
            is_repeatable: true,
            is_preemptible: true,
        };
        self.decide(|pool, context| pool.offer(context, offer));
    }

    fn finish_all(&mut self) {
        let effects = std::mem::take(&mut self.effects);
        for effect in effects {
            if let Effect::Dispatch {
                request, attempt, ..
            } = effect
            {
                let end = AttemptEnd::Done(Tokens(100));
                self.decide(|pool, context| pool.attempt_ended(context, request, attempt, end));
            }
        }
    }
}

fn print_row(name: &str, before_kb: u64, count: u64) {
    let kb = resident_kb().saturating_sub(before_kb);
    println!(
        "| {name} | {count} | {kb} | {:.0} |",
        kb as f64 * 1024.0 / count.max(1) as f64
    );
}

fn main() {
    println!("| state | count | KB resident | bytes each |");
    println!("|---|---|---|---|");
    // These requests have 2,200 pairs of kind and customer. Freed memory is reused, so that small
    // states have to be measured first.
    for count in [1_100u64, 2_200] {
        let mut fixture = PoolFixture::new(121, 64);
        let before = resident_kb();
        for id in 0..count {
            fixture.offer(id);
            fixture.finish_all();
        }
        print_row("length sketches by kind and customer", before, count);
        std::mem::forget(fixture);
    }
    for engines in [121u64, 850] {
        let before = resident_kb();
        let fixture = PoolFixture::new(engines as u32, 64);
        print_row("engines of a pool, with 1,100 customers", before, engines);
        drop(fixture);
    }
    for count in [2_500u64, 5_000, 10_000] {
        let mut fixture = PoolFixture::new(121, 128);
        let before = resident_kb();
        (0..count).for_each(|id| fixture.offer(id));
        print_row("requests in flight, 64 blocks each", before, count);
    }
    for count in [50_000u64, 200_000] {
        let mut fixture = PoolFixture::new(121, 64);
        let before = resident_kb();
        for block in 0..count {
            let engine = EndpointIx((block % 121) as u32);
            fixture
                .pool
                .cache_stored(TimeMs(1), &fixture.settings, engine, block);
        }
        print_row("cached blocks known", before, count);
    }
}
