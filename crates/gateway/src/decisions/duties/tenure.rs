//! Tenure: who may hold the duties, and until when the holder may act.
//!
//! Inputs: what this daemon's replica says of the holder's key in the store, whether this daemon
//! follows the store itself, and the moments at which its own calls were sent and answered.
//!
//! Rules:
//! 1. The holder is whoever wrote the holder's key, which must not be there, under a lease of its
//!    own. The fence is the revision of that write, so that no two holders ever have the same one
//!    and it rises with each holder.
//! 2. A holder acts only while its lease surely lasts by its own clock ([`HeldLease`]: it counts
//!    from the moment the call was *sent*, less a margin, through a freeze). A call that may take
//!    longer than that isn't begun.
//! 3. A successor acts no sooner than one lease after its own was granted. Whatever the store did
//!    with the earlier leases (it may let them run out while it is away), every earlier holder's
//!    time is over by then: its last renewal was carried out before the grant. So fences never fall
//!    at the platform, and no holder acts, is followed by another and acts again within one lease.
//! 4. It needn't wait if nobody held the duties before, or if it was itself the last holder in this
//!    life of its process: the write that makes it the holder is conditional on the duties' state,
//!    which every holder writes, so that no other one can have come between.
//! 5. Daemons that follow the store stand for a vacant key one after the other: the last holder at
//!    once, then the seeds in the order of their settings, then others. That spares refused writes;
//!    safety doesn't depend on it.
//!
//! After a kill a successor acts one lease (until the key goes), some hundred milliseconds, and one
//! lease later: 6.7 s with the users' lease of 3 s, within the 10 s in which a window's usage is due.
//!
//! Tests: `duties_tenure.rs` (rules), `duties_search.rs` (holders, successors, lost and late answers,
//! leases that run out early, in seeded orders).

use bridgevane_coordination::HeldLease;
use bridgevane_types::{DurationMs, FenceToken, TimeMs};
use derive_more::Display;

/// The pause between the daemons that may stand for a vacant key. Not measured, chosen because the
/// store answers the three calls of one that stands within some 20 ms, and its key is seen by the
/// others some 50 ms later.
const STANDING_STEP: DurationMs = DurationMs(250);
/// Places that are kept for seeds. Chosen because the platform names three at most.
const SEED_PLACES: u64 = 3;

/// Who held the duties before. The text is for logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Predecessor {
    /// Nobody has held them yet.
    #[display("nobody")]
    Nobody,
    /// This daemon, in this life of its process.
    #[display("itself")]
    Itself,
    /// Another daemon, or an earlier life of this one.
    #[display("another")]
    Another,
}

/// A daemon's place among those that may stand for a vacant key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StandingPlace {
    /// It was the last holder.
    LastHolder,
    /// It is the seed at this position of the settings' list, from 0 on.
    Seed(usize),
    /// It follows the store in the place of a seed; `spread` from 0 to 1 differs from daemon to
    /// daemon, so that not all of them stand at once.
    Other {
        /// Where it stands between the first and the last of these.
        spread: f64,
    },
}

/// When a daemon stands for a key that has been vacant since a moment.
pub fn stands_at(vacant_since: TimeMs, place: StandingPlace) -> TimeMs {
    let step = STANDING_STEP.0;
    let delay_ms = match place {
        StandingPlace::LastHolder => 0,
        StandingPlace::Seed(position) => (position as u64 + 1).min(SEED_PLACES) * step,
        StandingPlace::Other { spread } => {
            (SEED_PLACES + 1) * step + (spread.clamp(0.0, 1.0) * SEED_PLACES as f64) as u64 * step
        }
    };
    vacant_since + DurationMs(delay_ms)
}

/// One daemon's hold of the duties, as far as it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    lease: HeldLease,
    acts_from: TimeMs,
    is_over: bool,
}

/// How a daemon became the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accession {
    /// The revision that wrote the holder's key.
    pub fence: FenceToken,
    /// When the call that granted the lease was sent.
    pub lease_asked_at: TimeMs,
    /// When the write of the holder's key was known to be done.
    pub known_at: TimeMs,
    /// How long a lease lasts.
    pub lease_ms: DurationMs,
    /// Who held the duties before.
    pub predecessor: Predecessor,
}

impl Tenure {
    /// The tenure of a daemon that has just become the holder.
    pub fn begin(accession: Accession) -> Self {
        let Accession {
            fence,
            lease_asked_at,
            known_at,
            lease_ms,
            predecessor,
        } = accession;
        let acts_from = match predecessor {
            Predecessor::Nobody | Predecessor::Itself => known_at,
            Predecessor::Another => known_at + lease_ms,
        };
        Self {
            lease: HeldLease::granted(fence, lease_asked_at, lease_ms),
            acts_from,
            is_over: false,
        }
    }

    /// The fence of every call.
    pub fn fence(&self) -> FenceToken {
        self.lease.fence()
    }

    /// The lease was renewed by a call that was sent at `asked_at`.
    pub fn on_renewed(&mut self, asked_at: TimeMs) {
        self.lease.renewed(asked_at);
    }

    /// The lease is over, or is about to be ended: nothing more is done under it.
    pub fn end(&mut self) {
        self.is_over = true;
    }

    /// Whether it has ended.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// From when on this holder may act.
    pub fn acts_from(&self) -> TimeMs {
        self.acts_from
    }

    /// Whether a call that ends within `call_limit` may be sent now.
    pub fn may_act(&self, now: TimeMs, call_limit: DurationMs) -> bool {
        !self.is_over && now >= self.acts_from && self.lease.may_act(now, call_limit)
    }
}
