//! Tests of the soak that cuts daemons off from workers: each check finds a planted violation, and a
//! path does to connections what its state says.

use bridgevane_soak::cut_checks::{
    CONTACT_TIME, CutHistory, CutViolation, Disturbance, find_cut_violations,
};
use bridgevane_soak::cut_path::{CutPath, PathState};
use bridgevane_soak::cut_plan::{Cut, CutPlan, CutTarget};
use bridgevane_soak::history::{CallEnd, RecordedCall, RouteKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const WAIT: Duration = Duration::from_millis(400);
const DAEMONS: usize = 4;
const CUT: Cut = Cut {
    at: Duration::from_secs(1),
    lasts: Duration::from_secs(6),
    target: CutTarget::One(0),
    state: PathState::Silent,
};

fn call(number: usize, daemon: usize, status: u16) -> RecordedCall {
    let sent_at = CUT.at + CONTACT_TIME + Duration::from_millis(number as u64);
    RecordedCall {
        id: format!("c{number}-{daemon}"),
        kind: RouteKind::Once,
        daemon,
        key: "k".into(),
        sent_at,
        ended_at: sent_at + Duration::from_millis(10),
        end: CallEnd::Answered {
            status,
            is_signed: true,
            body: String::new(),
        },
    }
}

/// Returns the record of 100 calls at each of two daemons, of which the first is cut off and refuses
/// this many.
fn history(refused: usize) -> CutHistory {
    let at_cut_off = (0..100).map(|at| call(at, 0, if at < refused { 503 } else { 200 }));
    let at_other = (0..100).map(|at| call(at, 1, 200));
    CutHistory {
        calls: at_cut_off.chain(at_other).collect(),
        cuts: vec![CUT],
        daemons: DAEMONS,
        ..CutHistory::default()
    }
}

/// Guards against a check that passes whatever callers of daemons that are cut off get, and against one
/// that finds a few failures too many.
#[test]
fn calls_that_are_served_less_often_at_daemons_that_are_cut_off_are_found() {
    assert!(find_cut_violations(&history(0)).is_empty());
    assert!(find_cut_violations(&history(14)).is_empty());
    let found = find_cut_violations(&history(15));
    assert!(
        matches!(found[..], [CutViolation::ServedLess { tries, .. }] if tries.cut_off_served == 85),
        "{found:?}"
    );
}

/// Guards against failures that a kill or a pause causes being counted as those of a cut.
#[test]
fn calls_at_daemons_that_were_disturbed_lately_do_not_count() {
    let mut disturbed = history(100);
    disturbed.disturbances = vec![Disturbance {
        daemon: 0,
        from: Duration::ZERO,
        to: CUT.at + Duration::from_secs(1),
    }];
    assert_eq!(disturbed.tries(&CUT, RouteKind::Once).cut_off, 0);
    assert!(find_cut_violations(&disturbed).is_empty());
}

/// Guards against failures that no daemon could prevent, because the only one that reached the workers
/// was being stopped, and against one stopped daemon that excuses all failures.
#[test]
fn calls_count_only_while_a_daemon_reaches_the_workers() {
    let stopped = |daemon| Disturbance {
        daemon,
        from: Duration::ZERO,
        to: CUT.at + Duration::from_secs(1),
    };
    let mut some_left = history(100);
    some_left.disturbances = vec![stopped(1), stopped(2)];
    assert_eq!(some_left.tries(&CUT, RouteKind::Once).cut_off, 100);
    let mut none_left = history(100);
    none_left.disturbances = vec![stopped(1), stopped(2), stopped(3)];
    assert_eq!(none_left.tries(&CUT, RouteKind::Once).cut_off, 0);
}

/// Guards against forwarded requests that run twice, or run after they were refused, without being
/// found.
#[test]
fn requests_that_run_twice_or_despite_a_refusal_are_found() {
    let mut wrong = history(1);
    wrong.executed_ids = vec!["c0-0".into(), "c5-1".into(), "c5-1".into()];
    let found = find_cut_violations(&wrong);
    assert_eq!(
        found,
        [
            CutViolation::RanDespiteRefusal { id: "c0-0".into() },
            CutViolation::RanTooOften {
                id: "c5-1".into(),
                times: 2
            }
        ]
    );
}

/// Guards against a plan that differs between two runs of a seed, or that never cuts a data centre or
/// most daemons off.
#[test]
fn a_seed_determines_its_plan_and_all_kinds_of_cuts_occur() {
    let plans: Vec<CutPlan> = (0..40)
        .map(|seed| CutPlan::draw(seed, 8, Duration::from_secs(18)))
        .collect();
    assert_eq!(plans[7], CutPlan::draw(7, 8, Duration::from_secs(18)));
    let has = |is: fn(&Cut) -> bool| plans.iter().flat_map(|plan| &plan.cuts).any(is);
    assert!(has(|cut| matches!(cut.target, CutTarget::DataCentre(_))));
    assert!(has(|cut| matches!(
        cut.target,
        CutTarget::AllBut { count: 1, .. }
    )));
    assert!(has(|cut| cut.state == PathState::Refusing));
    assert!(has(|cut| cut.lasts < Duration::from_millis(1_500)));
}

/// Starts a worker that sends back what it gets, and a path to it.
async fn open_path() -> CutPath {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let worker = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    CutPath::open(worker).unwrap()
}

async fn connect(address: SocketAddr) -> Option<std::io::Result<TcpStream>> {
    timeout(WAIT, TcpStream::connect(address)).await.ok()
}

/// Returns what comes back of a byte: it, an end or error of the connection, or nothing in time.
async fn echo(stream: &mut TcpStream) -> Option<std::io::Result<usize>> {
    // A failed write shows in the read.
    let _ = stream.write_all(b"x").await;
    timeout(WAIT, stream.read(&mut [0; 1])).await.ok()
}

/// Guards against a cut that isn't one: a listener that accepts connections would look as if workers
/// could be reached.
#[tokio::test]
async fn a_cut_path_treats_open_and_new_connections_as_its_state_says() {
    let path = open_path().await;
    let mut open = connect(path.address).await.unwrap().unwrap();
    assert!(matches!(echo(&mut open).await, Some(Ok(1))));
    path.set(PathState::Silent);
    tokio::time::sleep(WAIT).await;
    assert!(connect(path.address).await.is_none(), "it hangs");
    assert!(echo(&mut open).await.is_none(), "it is silent");
    path.set(PathState::Open);
    tokio::time::sleep(WAIT).await;
    let mut second = connect(path.address).await.unwrap().unwrap();
    assert!(matches!(echo(&mut second).await, Some(Ok(1))));
    path.set(PathState::Refusing);
    tokio::time::sleep(WAIT).await;
    assert!(connect(path.address).await.unwrap().is_err(), "refused");
    assert!(matches!(echo(&mut second).await, Some(Ok(1))), "it lives");
    path.set(PathState::Reset);
    tokio::time::sleep(WAIT).await;
    assert!(connect(path.address).await.unwrap().is_err(), "refused");
    let ended = echo(&mut second).await;
    assert!(matches!(ended, Some(Err(_) | Ok(0))), "{ended:?}");
}
