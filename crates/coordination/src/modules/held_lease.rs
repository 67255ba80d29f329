//! What a lease's holder may do, by its own clock.
//!
//! A holder that was paused doesn't know that its lease lapsed, so it looks right before
//! every order. The clock that is passed in must count through a pause of the process and
//! of the machine (`CLOCK_BOOTTIME`).

use bridgevane_types::{DurationMs, FenceToken, TimeMs};

/// Part of the lease's time that is kept as a margin for clocks that run unevenly. Not measured,
/// chosen because clocks of VMs differ far less in rate.
const CLOCK_MARGIN_PARTS: u64 = 10;

/// A lease that this node holds, as far as it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    fence: FenceToken,
    /// When the latest call that granted or renewed it was *sent*.
    asked_at: TimeMs,
    ttl_ms: DurationMs,
    /// When it was first granted.
    held_since: TimeMs,
}

impl HeldLease {
    /// A lease that was granted to a call sent at `asked_at`. The answer came later, so the
    /// lease lasts at least until `asked_at + ttl_ms` by the service's clock.
    pub fn granted(fence: FenceToken, asked_at: TimeMs, ttl_ms: DurationMs) -> Self {
        Self {
            fence,
            asked_at,
            ttl_ms,
            held_since: asked_at,
        }
    }

    /// No lease: nothing may be done under it.
    pub fn ended() -> Self {
        Self::granted(FenceToken(0), TimeMs(0), DurationMs(0))
    }

    /// Notes a renewal whose call was sent at `asked_at`.
    pub fn renewed(&mut self, asked_at: TimeMs) {
        self.asked_at = self.asked_at.max(asked_at);
    }

    /// The fencing token of orders given under it.
    pub fn fence(&self) -> FenceToken {
        self.fence
    }

    /// When the holder must stop acting.
    pub fn ends_at(&self) -> TimeMs {
        let margin_ms = self.ttl_ms.0 / CLOCK_MARGIN_PARTS;
        self.asked_at + DurationMs(self.ttl_ms.0 - margin_ms)
    }

    /// Whether an order that takes at most `order_ms` may be sent now.
    pub fn may_act(&self, now: TimeMs, order_ms: DurationMs) -> bool {
        now + order_ms <= self.ends_at()
    }

    /// Whether orders of an earlier holder, at endpoints that check no fence, are surely over.
    /// An order that was sent just before the earlier lease ended takes at most `order_ms`.
    pub fn is_past_earlier_orders(&self, now: TimeMs, order_ms: DurationMs) -> bool {
        now >= self.held_since + order_ms
    }

    /// Whether it is time to renew: a third of the time has passed.
    pub fn is_renewal_due(&self, now: TimeMs) -> bool {
        /// Chosen because two renewals may be lost before the lease ends.
        const RENEW_PARTS: u64 = 3;
        now.since(self.asked_at).0 >= self.ttl_ms.0 / RENEW_PARTS
    }
}
