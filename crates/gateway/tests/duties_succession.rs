//! Tests of the state from which a new holder of the duties continues.

use bridgevane_gateway::SourceEra;
use bridgevane_gateway::decisions::duties::duty_state::{DutyState, WindowUsage};
use bridgevane_gateway::decisions::duties::succession::{
    StateOrigin, Succession, SuccessionInputs, succeed,
};
use bridgevane_gateway::decisions::duties::tenure::Predecessor;
use bridgevane_gateway::decisions::duties::usage_collection::DaemonIncarnation;
use bridgevane_gateway::decisions::duties::usage_counts::UsageCounts;
use bridgevane_gateway::decisions::duties::usage_window::UsageWindow;
use bridgevane_types::{CustomerId, Incarnation};

/// The first window that was open everywhere when the daemon learned of the store's era.
const AT_RETURN: UsageWindow = UsageWindow(20);

fn daemon(vm: &str) -> DaemonIncarnation {
    DaemonIncarnation {
        vm: vm.into(),
        incarnation: Incarnation(1),
    }
}

/// Returns a state that was written in `era` and whose newest window is this one.
fn state(vm: &str, era: u32, newest: u64) -> DutyState {
    let counts: UsageCounts = [(CustomerId::from("c"), 5)].into_iter().collect();
    let usage = WindowUsage {
        window: UsageWindow(newest),
        counts,
    };
    DutyState::initial(daemon(vm), SourceEra(era)).with_window(usage, 3)
}

/// Returns how `vm-a` begins in this era.
fn succession(era: u32, stored: Option<DutyState>, own: Option<DutyState>) -> Succession {
    succeed(SuccessionInputs {
        daemon: daemon("vm-a"),
        era: SourceEra(era),
        stored,
        own,
        first_open_at_return: AT_RETURN,
        newest_stored: UsageWindow(18),
    })
}

/// A state of the current era is the newest one; waiting or leaving out windows would cost usage.
#[test]
fn a_holder_continues_from_a_state_of_the_current_era() {
    let next = succession(2, Some(state("vm-b", 2, 17)), None);
    assert_eq!(next.predecessor, Predecessor::Another);
    assert_eq!(next.state.next_window(), UsageWindow(18));
    assert_eq!(next.origin, StateOrigin::Store);
    let again = succession(2, Some(state("vm-a", 2, 17)), None);
    assert_eq!(again.predecessor, Predecessor::Itself);
}

/// The state of a copy was taken for the newest one, and its holder for the last one: the windows
/// after it were submitted again, beside a holder that still acted by its own clock.
#[test]
fn a_state_from_a_copy_says_neither_what_was_submitted_nor_who_held_the_duties_last() {
    let next = succession(3, Some(state("vm-a", 2, 17)), None);
    assert_eq!(next.predecessor, Predecessor::Another);
    assert_eq!(next.state.next_window(), AT_RETURN);
    // Not even the windows that it lists are submitted again.
    assert_eq!(next.state.submitted_windows, []);
    assert_eq!(next.state.era, SourceEra(3));
    assert_eq!(next.origin, StateOrigin::Copy);
}

/// A copy from before the first holder looks like the store of a new fleet.
#[test]
fn a_store_without_a_state_is_that_of_a_new_fleet_only_if_it_never_came_back_from_a_copy() {
    assert_eq!(succession(0, None, None).predecessor, Predecessor::None);
    let next = succession(1, None, None);
    assert_eq!(next.predecessor, Predecessor::Another);
    assert_eq!(next.state.next_window(), AT_RETURN);
}

/// The daemon that held the duties until the store came back knows what was submitted: windows that
/// were due but not submitted would be missed otherwise.
#[test]
fn the_last_holder_before_a_return_from_a_copy_continues_from_its_own_state() {
    let next = succession(3, Some(state("vm-b", 2, 15)), Some(state("vm-a", 2, 17)));
    assert_eq!(next.state.next_window(), UsageWindow(18));
    assert_eq!(next.predecessor, Predecessor::Another);
    assert_eq!(next.origin, StateOrigin::OwnSession);
}

/// In an era between two returns another daemon may have submitted windows, of which the store has
/// nothing any more.
#[test]
fn a_state_of_its_own_from_an_earlier_era_than_the_last_one_counts_for_nothing() {
    let next = succession(4, Some(state("vm-a", 2, 15)), Some(state("vm-a", 2, 17)));
    assert_eq!(next.state.next_window(), AT_RETURN);
    assert_eq!(next.origin, StateOrigin::Copy);
}

/// The clock of the new holder may be behind that of the one before, whose newest window other
/// daemons know.
#[test]
fn a_window_that_is_known_to_be_stored_is_left_out_whatever_the_time_of_day() {
    let next = succeed(SuccessionInputs {
        daemon: daemon("vm-a"),
        era: SourceEra(3),
        stored: Some(state("vm-b", 2, 17)),
        own: None,
        first_open_at_return: AT_RETURN,
        newest_stored: UsageWindow(21),
    });
    assert_eq!(next.state.next_window(), UsageWindow(22));
}

/// A successor whose clock is behind, or that has just started, took a window for open that the
/// copy itself lists as submitted: the counts were dropped, and the window wasn't left out.
#[test]
fn a_window_that_a_copy_lists_is_not_submitted_again_with_other_counts() {
    let copy = state("vm-b", 1, 20);
    let next = succeed(SuccessionInputs {
        daemon: daemon("vm-a"),
        era: SourceEra(2),
        stored: Some(copy),
        own: None,
        // A time of day that is behind by less than the clocks of VMs may differ.
        first_open_at_return: UsageWindow(19),
        newest_stored: UsageWindow::default(),
    });
    assert!(
        next.state.next_window() > UsageWindow(20),
        "{:?}",
        next.state.next_window()
    );
}

/// A holder of an era between two returns left out what had been submitted before the first one; the
/// copy says so, and its successor after the second return, whose clock is behind, forgot it.
#[test]
fn windows_that_a_copy_leaves_out_are_left_out_after_the_next_return_as_well() {
    let copy =
        DutyState::initial(daemon("vm-b"), SourceEra(1)).without_windows_before(UsageWindow(21));
    let next = succeed(SuccessionInputs {
        daemon: daemon("vm-a"),
        era: SourceEra(2),
        stored: Some(copy),
        own: None,
        first_open_at_return: UsageWindow(20),
        newest_stored: UsageWindow::default(),
    });
    assert!(
        next.state.next_window() >= UsageWindow(21),
        "{:?}",
        next.state.next_window()
    );
}
