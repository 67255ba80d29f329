//! The end of a call with an idempotency key is known at the key's home before the caller is answered.
//!
//! Seen: of three equal calls, each sent after the answer to the one before through another daemon, the
//! second was told that the first was in progress, once in a run beside load. How it came about: the daemon
//! that ran the call queued the news of its end for the key's home, and answered without waiting; the next
//! daemon's claim reached the home first. Proved by a home that holds the news back: the answer came
//! before it, each time.

mod support;

use std::time::{Duration, Instant};
use support::fake_home::{FakeHome, OnEnd};
use support::*;

/// How long the home holds the news back.
const HELD: Duration = Duration::from_millis(120);
/// A home that says nothing may cost an answer no more than this.
const SILENT_COST: Duration = Duration::from_millis(600);
const PATH: &str = "/svc/desk/bookings/7";
const CUSTOMER: &str = "grand-bay";

async fn stage(name: &str, on_end: OnEnd) -> (Fleet, FakeHome) {
    let fleet = Fleet::start(name, 1, 1).await;
    let home = FakeHome::join(fleet.daemons[0].peers, on_end).await;
    fleet.sees_live(&fleet.daemons[0], 2).await;
    (fleet, home)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_home_knows_the_end_before_the_caller_is_answered() {
    let (fleet, home) = stage("keyed_end", OnEnd::HearsAfter(HELD)).await;
    for n in 0..5 {
        let key = home.key("desk", CUSTOMER, &["vm-0"], n);
        let answer = keyed(fleet.daemons[0].address, PATH, &key, "piano at four").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert_eq!(home.heard(), n + 1, "the home has heard before the caller");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_that_says_nothing_costs_no_caller_a_ready_answer() {
    let (fleet, home) = stage("keyed_end_silent", OnEnd::Silent).await;
    let key = home.key("desk", CUSTOMER, &["vm-0"], 0);
    let sent = Instant::now();
    let answer = keyed(fleet.daemons[0].address, PATH, &key, "piano at four").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert!(sent.elapsed() < SILENT_COST, "{:?}", sent.elapsed());
}
