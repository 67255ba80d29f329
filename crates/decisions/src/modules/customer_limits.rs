//! Limits per customer: output tokens per second and requests in flight.

use crate::index::CustomerIx;
use crate::policy::CustomerPolicy;
use bridgevane_types::{DurationMs, TimeMs};

/// The burst of a customer, in seconds of its rate: a rate limit applies over ten seconds. See
/// docs/CONFIGURATION.md.
const BURST_SECONDS: f64 = 10.0;
/// The `Retry-After` of a refusal by the concurrency limit (ms). Answers take seconds, so that an
/// earlier retry would be refused again.
const CONCURRENCY_RETRY_MS: u64 = 1_000;

#[derive(Clone, Debug, Default)]
struct Usage {
    in_flight: u32,
    /// The output tokens spent from the burst; the customer's rate reduces them over time.
    spent_tokens: f64,
    updated_at: TimeMs,
}

/// The current usage of all customers.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerLimits {
    usage: Vec<Usage>,
}

impl CustomerLimits {
    fn usage(&mut self, customer: CustomerIx) -> &mut Usage {
        if self.usage.len() <= customer.index() {
            self.usage.resize_with(customer.index() + 1, Usage::default);
        }
        &mut self.usage[customer.index()]
    }

    /// Admits a request, or returns the time after which to retry.
    pub(crate) fn admit(
        &mut self,
        now: TimeMs,
        customer: CustomerIx,
        policy: &CustomerPolicy,
        expected_tokens: f64,
    ) -> Result<(), DurationMs> {
        let usage = self.usage(customer);
        if policy
            .concurrency_limit
            .is_some_and(|limit| usage.in_flight >= limit.0)
        {
            return Err(DurationMs(CONCURRENCY_RETRY_MS));
        }
        if let Some(rate) = policy.rate_limit_tps {
            let elapsed_s = now.since(usage.updated_at).0 as f64 / 1000.0;
            usage.spent_tokens = (usage.spent_tokens - elapsed_s * rate.0).max(0.0);
            usage.updated_at = now;
            let excess = usage.spent_tokens + expected_tokens - BURST_SECONDS * rate.0;
            // A single answer longer than the whole burst is admitted if no tokens are outstanding.
            if excess > 0.0 && usage.spent_tokens > 0.0 {
                return Err(DurationMs((excess / rate.0.max(0.001) * 1000.0) as u64));
            }
            usage.spent_tokens += expected_tokens;
        }
        usage.in_flight += 1;
        Ok(())
    }

    /// Releases a request and corrects its expected tokens by the actual ones.
    pub(crate) fn release(&mut self, customer: CustomerIx, expected_tokens: f64, tokens: f64) {
        let usage = self.usage(customer);
        usage.in_flight = usage.in_flight.saturating_sub(1);
        usage.spent_tokens = (usage.spent_tokens + tokens - expected_tokens).max(0.0);
    }

    /// Counts a request that another daemon admitted.
    pub(crate) fn adopt(&mut self, customer: CustomerIx) {
        self.usage(customer).in_flight += 1;
    }
}
