//! The users' workloads: classes, bursts and heavy-tailed lengths.

use bridgevane_decisions::{ClassPolicy, CustomerPolicy, EnginePolicy, PoolPolicy};
use bridgevane_types::{DurationMs, Share, Slots, Tier, Tokens};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One class of a workload.
#[derive(Clone, Copy, Debug)]
pub struct ClassLoad {
    pub name: &'static str,
    pub tier: u8,
    pub first_token_ms: u64,
    pub between_tokens_ms: Option<u64>,
    pub min_share: f64,
    /// The share of all requests.
    pub request_share: f64,
    /// The minimum and maximum of prompt tokens.
    pub prompt: (u64, u64),
    /// The number of prompt tokens that requests of one pupil or machine share.
    pub shared_prefix: u64,
    /// The median answer length in tokens.
    pub median_tokens: f64,
    /// The standard deviation of the logarithm of the answer length.
    pub length_sigma: f64,
    /// The rate during a burst as a multiple of the usual rate.
    pub burst_factor: f64,
}

/// A request that will arrive.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub class: usize,
    pub customer: u32,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    pub blocks: Vec<u64>,
}

/// The number of tokens in a prefix block.
pub const BLOCK_TOKENS: u64 = 64;
/// The maximum length of an answer in tokens.
pub const MAX_TOKENS: u64 = 4_096;
const CUSTOMERS: u32 = 10;

#[derive(Clone, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub classes: Vec<ClassLoad>,
}

/// Ravaton Lessons: parents' questions, term reports, practice plans.
pub fn ravaton() -> Workload {
    let class = |name, tier, first_token_ms, between_tokens_ms, request_share| ClassLoad {
        name,
        tier,
        first_token_ms,
        between_tokens_ms,
        min_share: 0.0,
        request_share,
        prompt: (200, 600),
        shared_prefix: 0,
        median_tokens: 60.0,
        length_sigma: 0.7,
        burst_factor: 1.0,
    };
    Workload {
        name: "ravaton",
        classes: vec![
            class("parent-question", 0, 810, Some(46), 0.5),
            ClassLoad {
                prompt: (2_000, 6_000),
                shared_prefix: 1_920,
                median_tokens: 220.0,
                length_sigma: 0.9,
                burst_factor: 3.0,
                ..class("term-report", 1, 3_000, Some(46), 0.2)
            },
            ClassLoad {
                median_tokens: 150.0,
                length_sigma: 0.8,
                ..class("practice-plan", 2, 10_000, None, 0.3)
            },
        ],
    }
}

/// Solcata: fault summaries, dealers' queries, field notes.
pub fn solcata() -> Workload {
    let class = |name, tier, first_token_ms, between_tokens_ms, request_share| ClassLoad {
        name,
        tier,
        first_token_ms,
        between_tokens_ms,
        min_share: 0.0,
        request_share,
        prompt: (400, 1_200),
        shared_prefix: 320,
        median_tokens: 90.0,
        length_sigma: 0.7,
        burst_factor: 1.0,
    };
    Workload {
        name: "solcata",
        classes: vec![
            ClassLoad {
                burst_factor: 3.0,
                ..class("fault-summary", 0, 810, Some(46), 0.25)
            },
            class("dealer-query", 1, 2_000, Some(46), 0.45),
            ClassLoad {
                median_tokens: 140.0,
                length_sigma: 0.9,
                ..class("field-note", 2, 20_000, None, 0.3)
            },
        ],
    }
}

/// Returns an approximately normally distributed number.
fn normal(rng: &mut Pcg64Mcg) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

impl Workload {
    /// Returns the policy of a pool of `engines` engines with `slots` each.
    pub fn policy(&self, engines: usize, slots: u32) -> PoolPolicy {
        let class = |class: &ClassLoad| ClassPolicy {
            name: class.name.into(),
            tier: Tier(class.tier),
            first_token_target_ms: DurationMs(class.first_token_ms),
            between_tokens_target_ms: class.between_tokens_ms.map(DurationMs),
            min_share: Share(class.min_share),
            max_wait_ms: None,
        };
        let customer = |at: u32| CustomerPolicy {
            name: format!("customer-{at}").as_str().into(),
            rate_limit_tps: None,
            concurrency_limit: None,
        };
        let engine = |at: usize| EnginePolicy {
            name: format!("engine-{at}").as_str().into(),
            slots: Slots(slots),
            is_drained: false,
        };
        PoolPolicy::from_parts(
            self.classes.iter().map(class).collect(),
            (0..CUSTOMERS).map(customer).collect(),
            self.classes
                .iter()
                .map(|class| (class.name.into(), Tokens(class.mean_tokens() as u64)))
                .collect(),
            (0..engines).map(engine).collect(),
        )
    }

    /// Returns the mean slot time of a request (ms).
    pub fn mean_service_ms(&self, step_ms: f64, prefill_tokens_per_ms: f64) -> f64 {
        let service = |class: &ClassLoad| {
            let prompt = (class.prompt.0 + class.prompt.1) as f64 / 2.0;
            class.request_share * (class.mean_tokens() * step_ms + prompt / prefill_tokens_per_ms)
        };
        self.classes.iter().map(service).sum()
    }

    /// Returns the arrivals within `duration_ms` at an average of `rate_per_ms`.
    pub fn arrivals(&self, seed: u64, duration_ms: u64, rate_per_ms: f64) -> Vec<Arrival> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (at, class) in self.classes.iter().enumerate() {
            self.class_arrivals(&mut rng, at, class, duration_ms, rate_per_ms, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }

    fn class_arrivals(
        &self,
        rng: &mut Pcg64Mcg,
        at: usize,
        class: &ClassLoad,
        duration_ms: u64,
        rate_per_ms: f64,
        arrivals: &mut Vec<Arrival>,
    ) {
        // A burst takes a quarter of each period; the mean rate of the class stays the same.
        const PERIOD_MS: f64 = 20_000.0;
        const BURST_SHARE: f64 = 0.25;
        let quiet = 1.0 / (1.0 - BURST_SHARE + BURST_SHARE * class.burst_factor);
        let phase = rng.random::<f64>() * PERIOD_MS;
        let mut now = 0.0;
        loop {
            let in_burst = ((now + phase) % PERIOD_MS) < PERIOD_MS * BURST_SHARE;
            let factor = if in_burst {
                quiet * class.burst_factor
            } else {
                quiet
            };
            let rate = rate_per_ms * class.request_share * factor;
            now += -(1.0 - rng.random::<f64>()).ln() / rate;
            if now >= duration_ms as f64 {
                return;
            }
            arrivals.push(self.arrival(rng, at, class, now as u64));
        }
    }

    fn arrival(&self, rng: &mut Pcg64Mcg, at: usize, class: &ClassLoad, at_ms: u64) -> Arrival {
        let prompt_tokens = rng.random_range(class.prompt.0..=class.prompt.1);
        let answer = class.median_tokens * (class.length_sigma * normal(rng)).exp();
        let prefix_owner = rng.random_range(0..40u64);
        let unique = rng.random::<u64>();
        let block = |block: u64| {
            let is_shared = (block + 1) * BLOCK_TOKENS <= class.shared_prefix;
            let owner = if is_shared { prefix_owner } else { unique };
            (at as u64) << 56 ^ owner.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ block
        };
        Arrival {
            at_ms,
            class: at,
            // The minimum of two makes a few customers large.
            customer: rng
                .random_range(0..CUSTOMERS)
                .min(rng.random_range(0..CUSTOMERS)),
            prompt_tokens,
            answer_tokens: (answer as u64).clamp(1, MAX_TOKENS),
            blocks: (0..prompt_tokens / BLOCK_TOKENS).map(block).collect(),
        }
    }
}

impl ClassLoad {
    pub fn mean_tokens(&self) -> f64 {
        self.median_tokens * (self.length_sigma * self.length_sigma / 2.0).exp()
    }
}
