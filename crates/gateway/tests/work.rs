//! What daemons tell each other of the work that they have under way.

use bridgevane_gateway::{EndpointHash, EndpointLoad, PendingPrefill, PendingReports};
use bridgevane_types::TimeMs;
use std::net::SocketAddr;

const NOW: TimeMs = TimeMs(10_000);

fn work(tokens: &[(u32, u64)]) -> PendingPrefill {
    let mut work = PendingPrefill::default();
    for (endpoint, tokens) in tokens {
        work.add(EndpointHash(*endpoint), *tokens);
    }
    work
}

fn seed(at: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], at))
}

#[test]
fn others_work_is_the_total_without_one_s_own() {
    let total = work(&[(1, 5_000), (2, 900)]);
    let own = work(&[(1, 2_000), (2, 1_000), (3, 10)]);
    assert_eq!(total.without(&own), work(&[(1, 3_000)]));
    assert!(work(&[(1, 1_499)]).is_small());
    assert!(!total.is_small());
}

#[test]
fn a_seed_adds_the_trees_of_the_others_while_they_are_told() {
    let mut board = PendingReports::default();
    let tree = work(&[(1, 2_000)]);
    board.on_seed(NOW, seed(1), work(&[(1, 3_000)]));
    board.on_seed(NOW, seed(2), work(&[(2, 4_000)]));
    board.on_seed(NOW, seed(2), work(&[(2, 5_000)]));
    assert_eq!(board.total(NOW, &tree), work(&[(1, 5_000), (2, 5_000)]));
    let later = TimeMs(NOW.0 + 1_200);
    assert_eq!(board.total(later, &tree), tree, "it is too old");
}

#[test]
fn a_follower_believes_the_total_that_holds_its_own_tree() {
    let mut board = PendingReports::default();
    board.on_total(NOW, work(&[(1, 9_000)]));
    let tree = work(&[(1, 2_000)]);
    assert_eq!(board.total(NOW, &tree), work(&[(1, 9_000)]));
    let later = TimeMs(NOW.0 + 1_200);
    assert_eq!(board.total(later, &tree), tree, "it is too old");
}

#[test]
fn what_others_told_of_an_endpoint_is_soon_forgotten() {
    let load = EndpointLoad::default();
    load.on_peers_report(NOW, 40_000);
    assert_eq!(load.snapshot(NOW).others_prefill_tokens, 40_000);
    let later = TimeMs(NOW.0 + 1_200);
    assert_eq!(load.snapshot(later).others_prefill_tokens, 0);
}
