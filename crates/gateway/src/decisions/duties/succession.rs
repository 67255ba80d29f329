//! Succession: from which state a new holder of the duties continues.
//!
//! Inputs: the duty state in the store, the store's era, the state of this daemon's own last session
//! if that session lasted until the store came back from a copy, the first window that was open
//! everywhere when this daemon learned of the store's era, and the newest window that daemons know to
//! be stored.
//!
//! Rules:
//! 1. A state that was written in the store's current era has all that holders submitted: each one
//!    writes usage there before it submits it. The new holder continues from it.
//! 2. After a return from a copy the store has an older state or none, and nothing in the store says
//!    which windows were submitted meanwhile. If this daemon was the holder until then, it continues
//!    from its own state: no other daemon acted after it.
//! 3. Any other daemon submits no window that may have been submitted under an earlier era, not even
//!    one that the copy lists or leaves out. A holder of an earlier era stores only windows that it has
//!    closed, and none after the return. So these are in doubt: those that any daemon may have closed
//!    when this one learned of the era, by as much as the clocks of VMs differ, and those that daemons
//!    know to be stored. Nobody can know whether they were submitted, nor with which counts. A window
//!    that is left out is missed; one that is submitted with other counts makes the platform's usage
//!    wrong.
//! 4. Whose state a copy has doesn't matter for when the new holder may act: a later holder of the
//!    earlier era may still act by its own clock, for the rest of its lease.
//! 5. A store without a state that never came back from a copy is that of a new fleet.
//!
//! The whole argument: docs/design/30.
//!
//! Tests: `duties_succession.rs` (rules), `duties_store_from_copy.rs` (daemons and returns).

use super::duty_state::DutyState;
use super::tenure::Predecessor;
use super::usage_collection::DaemonIncarnation;
use super::usage_window::UsageWindow;
use crate::control::source::SourceEra;
use derive_more::Display;

/// What a daemon knows when it is about to become the holder.
#[derive(Clone, Debug)]
pub struct SuccessionInputs {
    /// The daemon.
    pub daemon: DaemonIncarnation,
    /// The era in which the store granted its lease.
    pub era: SourceEra,
    /// The state in the store.
    pub stored: Option<DutyState>,
    /// The state of its last session, if that lasted until the store came back from a copy.
    pub own: Option<DutyState>,
    /// The first window that was open everywhere when the daemon learned of this era.
    pub first_open_at_return: UsageWindow,
    /// The newest window that a holder has stored, as far as the daemon knows.
    pub newest_stored: UsageWindow,
}

/// From where the state of a new holder comes. The text is for logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StateOrigin {
    /// There is no state: the fleet is new.
    #[display("none")]
    NewFleet,
    /// The store, in its current era.
    #[display("store")]
    Store,
    /// This daemon's own session, which lasted until the store came back from a copy.
    #[display("own session")]
    OwnSession,
    /// A copy of the store: windows that may have been submitted since are left out.
    #[display("copy")]
    Copy,
}

/// How a new holder begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Succession {
    /// The previous holder.
    pub predecessor: Predecessor,
    /// The state that the new holder continues from, under its own name.
    pub state: DutyState,
    /// Where the state comes from.
    pub origin: StateOrigin,
}

/// Returns how a new holder begins.
pub fn succeed(inputs: SuccessionInputs) -> Succession {
    let SuccessionInputs {
        daemon,
        era,
        stored,
        own,
        first_open_at_return,
        newest_stored,
    } = inputs;
    let (origin, predecessor, state) = match (stored, own) {
        (None, _) if era == SourceEra::default() => {
            let state = DutyState::initial(daemon.clone(), era);
            (StateOrigin::NewFleet, Predecessor::None, state)
        }
        (Some(state), _) if state.era == era => {
            (StateOrigin::Store, predecessor(&state, &daemon), state)
        }
        // In an era between that session and now, another daemon may have held the duties.
        (_, Some(state)) if state.era.next() == era => {
            (StateOrigin::OwnSession, Predecessor::Another, state)
        }
        (stored, _) => {
            let state = stored.unwrap_or_else(|| DutyState::initial(daemon.clone(), era));
            let first_window = first_open_at_return
                .max(newest_stored.next())
                .max(state.next_window());
            let state = state.without_windows_before(first_window);
            (StateOrigin::Copy, Predecessor::Another, state)
        }
    };
    Succession {
        predecessor,
        state: state.with_holder(daemon, era),
        origin,
    }
}

/// Returns the previous holder according to a state of the current era.
fn predecessor(state: &DutyState, daemon: &DaemonIncarnation) -> Predecessor {
    if state.holder == *daemon {
        Predecessor::Itself
    } else {
        Predecessor::Another
    }
}
