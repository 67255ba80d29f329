//! Tenure: which daemon may hold the duties, and until when the holder may act.
//!
//! Inputs: this daemon's replica of the holder's key in the store, whether this daemon follows the
//! store itself, and the times at which its own calls were sent and answered.
//!
//! Rules:
//! 1. The holder is the daemon that wrote the holder's key, which must not have existed, under a
//!    lease of its own. The fencing token is the revision of that write, so that no two holders
//!    ever have the same one and it rises with each holder.
//! 2. A holder acts only while its lease surely lasts by its own clock ([`HeldLease`]: it counts
//!    from the time at which the call was *sent*, less a margin, through a freeze). A call that may
//!    take longer than that isn't started.
//! 3. A successor acts no sooner than one lease after its own was granted. Even if the store
//!    changed earlier leases (it may let them expire during an outage of its own), every earlier
//!    holder's lease is over by then: its last renewal was carried out before the grant. So fencing
//!    tokens never fall at the platform, and no holder acts, is followed by another and acts again
//!    within one lease.
//! 4. It needn't wait if there was no holder before, or if it was itself the last holder in this
//!    incarnation of its process: the write that makes it the holder is conditional on the duty
//!    state, which every holder writes, so no other holder can have come between. A state from a copy
//!    doesn't show that ([`super::succession`]). What is left of the wait of its tenure before, it
//!    still waits: the holder before that one may act for as long.
//! 5. Daemons that follow the store become candidates for a vacant key one after the other: the
//!    last holder at once, then the seeds in the order of their settings, then others. That saves
//!    rejected writes; safety doesn't depend on it.
//! 6. After a return of the store from a copy only the last holder knows what was submitted
//!    ([`super::succession`]). It learns of the return from its own calls and is a candidate at once,
//!    whichever daemon it follows; all others wait `RESTORE_HEAD_START` longer.
//!
//! After a kill a successor acts after one lease (until the key expires), some hundred
//! milliseconds, and one more lease: 6.7 s with a lease of 3 s, within the 10 s in which a window's
//! usage is due.
//!
//! Tests: `duties_tenure.rs` (rules), `duties_search.rs` (holders, successors, lost and late
//! responses, leases that expire early, in seeded orders).

use bridgevane_coordination::HeldLease;
use bridgevane_types::{DurationMs, FenceToken, TimeMs};
use derive_more::Display;

/// The pause between the daemons that may become candidates for a vacant key. The store answers the
/// three calls of a candidate within some 20 ms, and the others see its key some 50 ms later.
const CANDIDACY_STEP: DurationMs = DurationMs(250);
/// The number of ranks that are reserved for seeds. The platform names three at most.
const SEED_RANKS: u64 = 3;

/// How much longer other daemons than the last holder wait after a return of the store from a copy.
/// The last holder needs up to 1.1 s to learn of it (a renewal that timed out, and a pause), and makes
/// three calls, of 0.24 s each at the slowest known store.
pub const RESTORE_HEAD_START: DurationMs = DurationMs(2_000);

/// The previous holder of the duties. The text is for logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Predecessor {
    /// There was no holder yet.
    #[display("nobody")]
    None,
    /// This daemon, in this incarnation of its process.
    #[display("itself")]
    Itself,
    /// Another daemon, or an earlier incarnation of this one.
    #[display("another")]
    Another,
}

/// A daemon's rank among the candidates for a vacant key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CandidateRank {
    /// It was the last holder.
    LastHolder,
    /// It is the seed at this position of the settings' list, from 0 on.
    Seed(usize),
    /// It follows the store in place of a seed. `spread` from 0 to 1 differs between daemons, so
    /// that they don't all become candidates at once.
    Other {
        /// The position between the first and the last of these.
        spread: f64,
    },
}

/// The holder's key is vacant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vacancy {
    /// When this daemon first saw the key vacant in the store's current era.
    pub since: TimeMs,
    /// Whether it learned then that the store had come back from a copy.
    pub is_after_restore: bool,
}

/// Returns when a daemon that follows the store becomes a candidate for a vacant key.
pub fn candidacy_starts_at(vacancy: Vacancy, rank: CandidateRank) -> TimeMs {
    let step = CANDIDACY_STEP.0;
    let delay_ms = match rank {
        CandidateRank::LastHolder => return vacancy.since,
        CandidateRank::Seed(position) => (position as u64 + 1).min(SEED_RANKS) * step,
        CandidateRank::Other { spread } => {
            (SEED_RANKS + 1) * step + (spread.clamp(0.0, 1.0) * SEED_RANKS as f64) as u64 * step
        }
    };
    let head_start = if vacancy.is_after_restore {
        RESTORE_HEAD_START
    } else {
        DurationMs(0)
    };
    vacancy.since + head_start + DurationMs(delay_ms)
}

/// The time in which one daemon holds the duties, as far as it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    lease: HeldLease,
    may_act_from: TimeMs,
    is_over: bool,
}

/// How a daemon became the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenureStart {
    /// The revision that wrote the holder's key.
    pub fence: FenceToken,
    /// When the call that granted the lease was sent.
    pub lease_requested_at: TimeMs,
    /// When the response to the write of the holder's key arrived.
    pub known_at: TimeMs,
    /// How long a lease lasts.
    pub lease_ms: DurationMs,
    /// The previous holder.
    pub predecessor: Predecessor,
    /// From when this daemon might act in its tenure before; the start of the clock if it had none.
    pub might_act_from: TimeMs,
}

impl Tenure {
    /// Creates the tenure of a daemon that has just become the holder.
    pub fn begin(start: TenureStart) -> Self {
        let TenureStart {
            fence,
            lease_requested_at,
            known_at,
            lease_ms,
            predecessor,
            might_act_from,
        } = start;
        let may_act_from = match predecessor {
            Predecessor::None | Predecessor::Itself => known_at.max(might_act_from),
            Predecessor::Another => known_at + lease_ms,
        };
        Self {
            lease: HeldLease::granted(fence, lease_requested_at, lease_ms),
            may_act_from,
            is_over: false,
        }
    }

    /// Returns the fencing token of every call.
    pub fn fence(&self) -> FenceToken {
        self.lease.fence()
    }

    /// Records a renewal of the lease by a call sent at `asked_at`.
    pub fn on_renewed(&mut self, asked_at: TimeMs) {
        self.lease.record_renewal(asked_at);
    }

    /// Ends the tenure because the lease is over or about to be ended: no more calls are made under
    /// it.
    pub fn end(&mut self) {
        self.is_over = true;
    }

    /// Returns whether it has ended.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Returns whether its lease surely lasts by this daemon's clock, if the store didn't end it early.
    pub fn lease_lasts(&self, now: TimeMs) -> bool {
        self.lease.may_act(now, DurationMs(0))
    }

    /// Returns the time from which this holder may act.
    pub fn may_act_from(&self) -> TimeMs {
        self.may_act_from
    }

    /// Returns whether a call that ends within `call_limit` may be sent now.
    pub fn may_act(&self, now: TimeMs, call_limit: DurationMs) -> bool {
        !self.is_over && now >= self.may_act_from && self.lease.may_act(now, call_limit)
    }
}
