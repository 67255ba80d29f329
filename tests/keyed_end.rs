//! The end of a call with an idempotency key is known at the key's home before the caller is
//! answered.
//!
//! Guards against a repeated call that is refused as in progress although the first one was
//! answered. Three equal calls were sent one after the other through different daemons, and the
//! second was refused: the daemon that ran the first call queued the end for the key's home and
//! answered without waiting, so that the next daemon's claim reached the home first. Under load
//! this occurred once by chance; with a home that delays its acknowledgement it occurred every
//! time.

mod support;

use std::time::{Duration, Instant};
use support::fake_home::{EndReaction, FakeHome};
use support::*;

/// The delay with which the home records the end of a call.
const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(120);
/// The maximum time of an answer whose home doesn't acknowledge.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(600);
const PATH: &str = "/svc/desk/bookings/7";
const CUSTOMER: &str = "grand-bay";

async fn start_fleet_with_home(name: &str, end_reaction: EndReaction) -> (Fleet, FakeHome) {
    let fleet = Fleet::start(name, 1, 1).await;
    let home = FakeHome::join(fleet.daemons[0].peers, end_reaction).await;
    fleet.wait_for_live_members(&fleet.daemons[0], 2).await;
    (fleet, home)
}

/// Guards against an answer that the caller gets before the key's home knows that the call ended.
#[tokio::test(flavor = "multi_thread")]
async fn the_home_knows_the_end_before_the_caller_is_answered() {
    let (fleet, home) = start_fleet_with_home(
        "keyed_end",
        EndReaction::AcknowledgesAfter(ACKNOWLEDGE_DELAY),
    )
    .await;
    for n in 0..5 {
        let key = home.key("desk", CUSTOMER, &["vm-0"], n);
        let answer = keyed_call(fleet.daemons[0].address, PATH, &key, "piano at four").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert_eq!(
            home.recorded_ends(),
            n + 1,
            "the home knows before the caller"
        );
    }
}

/// Guards against answers that wait for a home that is frozen or disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_home_that_does_not_acknowledge_delays_no_answer() {
    let (fleet, home) = start_fleet_with_home("keyed_end_silent", EndReaction::Silent).await;
    let key = home.key("desk", CUSTOMER, &["vm-0"], 0);
    let sent = Instant::now();
    let answer = keyed_call(fleet.daemons[0].address, PATH, &key, "piano at four").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert!(sent.elapsed() < MAX_ANSWER_TIME, "{:?}", sent.elapsed());
}
