//! The policy of a pool with the number of customers and tiers that the design assumes.

use bridgevane_decisions::{ClassPolicy, CustomerPolicy, EnginePolicy, PoolPolicy};
use bridgevane_types::{DurationMs, Share, Slots, Tier, Tokens};

/// The number of customers in steady use.
pub const CUSTOMERS: u32 = 1_100;
/// The number of service tiers.
pub const TIERS: u8 = 8;

/// Returns the policy of a pool with `engines` engines of `slots` slots each.
pub fn policy(engines: u32, slots: u32) -> PoolPolicy {
    let class = |tier: u8| ClassPolicy {
        name: format!("class-{tier}").as_str().into(),
        tier: Tier(tier),
        first_token_target_ms: DurationMs(810 * u64::from(tier + 1)),
        between_tokens_target_ms: Some(DurationMs(46)),
        min_share: Share(0.01),
        max_wait_ms: None,
    };
    let customer = |at: u32| CustomerPolicy {
        name: format!("customer-{at}").as_str().into(),
        rate_limit_tps: None,
        concurrency_limit: None,
    };
    let engine = |at: u32| EnginePolicy {
        name: format!("engine-{at}").as_str().into(),
        slots: Slots(slots),
        is_drained: false,
    };
    let kind = |tier: u8| (format!("kind-{tier}").as_str().into(), Tokens(200));
    PoolPolicy::from_parts(
        (0..TIERS).map(class).collect(),
        (0..CUSTOMERS).map(customer).collect(),
        (0..TIERS).map(kind).collect(),
        (0..engines).map(engine).collect(),
    )
}
