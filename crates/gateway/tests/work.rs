//! Reports between daemons on the work that they have in flight at endpoints.

use bridgevane_gateway::decisions::endpoint::load_report::ReportedLoad;
use bridgevane_gateway::{EndpointHash, EndpointLoad, Work, WorkByEndpoint, WorkReports};
use bridgevane_types::TimeMs;
use std::net::SocketAddr;

const NOW: TimeMs = TimeMs(10_000);

/// Work of pending prompt tokens without running requests.
fn prefill_work(prefill_tokens: u64) -> Work {
    Work {
        prefill_tokens,
        running: 0,
        ..Work::default()
    }
}

fn work(tokens: &[(u32, u64)]) -> WorkByEndpoint {
    let mut work = WorkByEndpoint::default();
    for (endpoint, tokens) in tokens {
        work.add(EndpointHash(*endpoint), prefill_work(*tokens));
    }
    work
}

fn seed(at: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], at))
}

/// Guards against a daemon that counts its own work twice, and against underflow when its own work is
/// newer than the total.
#[test]
fn the_work_of_other_daemons_is_the_total_minus_the_own() {
    let total = work(&[(1, 5_000), (2, 900)]);
    let own = work(&[(1, 2_000), (2, 1_000), (3, 10)]);
    assert_eq!(total.minus(&own), work(&[(1, 3_000)]));
    assert!(work(&[(1, 1_499)]).has_no_urgent_prefill());
    assert!(!total.has_no_urgent_prefill());
}

/// Guards against seeds that add a report of another seed twice, or keep it after it is outdated.
#[test]
fn a_seed_adds_the_newest_reports_of_other_seeds_until_they_expire() {
    let mut reports = WorkReports::default();
    let subtree = work(&[(1, 2_000)]);
    reports.on_seed(NOW, seed(1), work(&[(1, 3_000)]));
    reports.on_seed(NOW, seed(2), work(&[(2, 4_000)]));
    reports.on_seed(NOW, seed(2), work(&[(2, 5_000)]));
    assert_eq!(
        reports.total(NOW, &subtree),
        work(&[(1, 5_000), (2, 5_000)])
    );
    let later = TimeMs(NOW.0 + 1_200);
    assert_eq!(
        reports.total(later, &subtree),
        subtree,
        "the reports have expired"
    );
}

/// Guards against a follower that adds its own subtree to a total that already contains it, or uses
/// an outdated total.
#[test]
fn a_follower_uses_the_received_total_until_it_expires() {
    let mut reports = WorkReports::default();
    reports.on_total(NOW, work(&[(1, 9_000)]));
    let subtree = work(&[(1, 2_000)]);
    assert_eq!(reports.total(NOW, &subtree), work(&[(1, 9_000)]));
    let later = TimeMs(NOW.0 + 1_200);
    assert_eq!(
        reports.total(later, &subtree),
        subtree,
        "the total has expired"
    );
}

/// Guards against an endpoint that looks loaded long after the last report of other daemons.
#[test]
fn the_reported_load_of_other_daemons_expires() {
    let load = EndpointLoad::default();
    load.on_peers_report(NOW, prefill_work(40_000));
    assert_eq!(load.snapshot(NOW).others_prefill_tokens, 40_000);
    let later = TimeMs(NOW.0 + 1_200);
    assert_eq!(load.snapshot(later).others_prefill_tokens, 0);
}

/// Guards against an endpoint whose load leaves out the requests of other daemons, or adds them to the
/// endpoint's own report, which contains them.
#[test]
fn running_requests_of_other_daemons_count_unless_the_endpoint_reports_more() {
    let running = |running| Work {
        prefill_tokens: 0,
        running,
        ..Work::default()
    };
    let mut total = WorkByEndpoint::default();
    total.add(EndpointHash(1), running(9));
    let mut own = WorkByEndpoint::default();
    own.add(EndpointHash(1), running(2));
    let others = total.minus(&own);
    let load = EndpointLoad::default();
    load.on_sent(0);
    load.on_sent(0);
    let mut expected = WorkByEndpoint::default();
    expected.add(EndpointHash(1), running(7));
    assert_eq!(others, expected);
    load.on_peers_report(NOW, running(7));
    let snapshot = load.snapshot(NOW);
    assert_eq!((snapshot.running(), snapshot.fleet_running()), (2, 9));
    // The endpoint itself reports more.
    let (running, waiting) = (11, 1);
    load.on_report(
        NOW,
        ReportedLoad {
            running,
            waiting,
            work_time: None,
        },
    );
    let snapshot = load.snapshot(NOW);
    assert_eq!((snapshot.running(), snapshot.fleet_running()), (12, 12));
    let later = TimeMs(NOW.0 + 1_200);
    assert_eq!(
        load.snapshot(later).peers_running,
        0,
        "the report has expired"
    );
}
