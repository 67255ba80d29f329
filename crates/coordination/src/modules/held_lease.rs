//! What the holder of a lease may do, by its own clock.
//!
//! A holder that was paused doesn't know that its lease expired, so it checks the lease right
//! before every order. The clock that is passed in must keep counting while the process is paused
//! or the VM is suspended (`CLOCK_BOOTTIME`).

use bridgevane_types::{DurationMs, FenceToken, TimeMs};

/// The margin is the lease's duration divided by this. It covers clocks that run at different
/// rates; the clocks of VMs differ by far less than a tenth.
const CLOCK_MARGIN_PARTS: u64 = 10;

/// A lease that this node holds, as far as the node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    fence: FenceToken,
    /// When the latest call that granted or renewed the lease was *sent*.
    requested_at: TimeMs,
    ttl_ms: DurationMs,
    /// When the call that granted the lease was sent.
    held_since: TimeMs,
}

impl HeldLease {
    /// Creates a lease that was granted to a call sent at `requested_at`. The service granted it
    /// after that, so the lease lasts at least until `requested_at + ttl_ms`.
    pub fn granted(fence: FenceToken, requested_at: TimeMs, ttl_ms: DurationMs) -> Self {
        Self {
            fence,
            requested_at,
            ttl_ms,
            held_since: requested_at,
        }
    }

    /// Creates a lease that has ended: its holder may send no order.
    pub fn expired() -> Self {
        Self::granted(FenceToken(0), TimeMs(0), DurationMs(0))
    }

    /// Records a renewal whose call was sent at `requested_at`.
    pub fn record_renewal(&mut self, requested_at: TimeMs) {
        self.requested_at = self.requested_at.max(requested_at);
    }

    /// Returns the fencing token of orders sent under the lease.
    pub fn fence(&self) -> FenceToken {
        self.fence
    }

    /// Returns when the holder must stop acting: a margin before the lease expires.
    pub fn ends_at(&self) -> TimeMs {
        let margin_ms = self.ttl_ms.0 / CLOCK_MARGIN_PARTS;
        self.requested_at + DurationMs(self.ttl_ms.0 - margin_ms)
    }

    /// Returns whether an order that takes at most `order_ms` may be sent at `now`.
    pub fn may_act(&self, now: TimeMs, order_ms: DurationMs) -> bool {
        now + order_ms <= self.ends_at()
    }

    /// Returns whether all orders of an earlier holder have certainly ended, which matters at
    /// endpoints that don't check fencing tokens. An order that was sent just before the earlier
    /// lease ended takes at most `order_ms`.
    pub fn is_past_earlier_orders(&self, now: TimeMs, order_ms: DurationMs) -> bool {
        now >= self.held_since + order_ms
    }

    /// Returns whether a third of the lease's duration has passed, so that it should be renewed.
    pub fn is_renewal_due(&self, now: TimeMs) -> bool {
        /// A third of the duration: two renewals may be lost before the lease ends.
        const RENEW_PARTS: u64 = 3;
        now.since(self.requested_at).0 >= self.ttl_ms.0 / RENEW_PARTS
    }
}
