//! The peer address: answers daemons that follow this one, and those that report their usage to it.
//!
//! Owns the connections of followers. Answers are made of [`crate::control::state`] and
//! [`super::fleet`]; who is answered here is decided in
//! [`crate::decisions::replication::followers`].

use crate::control::source::Revision;
use crate::counter::Counter;
use crate::decisions::replication::followers::{Follower, FollowerPlacement, Tree};
use crate::decisions::replication::hold::hold;
use crate::duties::codec::report_of_message;
use crate::gateway::Gateway;
use crate::replication::crash_news::{self, ToldNews};
use crate::replication::endpoint_notices;
use crate::replication::fleet::FresherDaemon;
use crate::replication::message::{CLOCK_GRAIN_MS, path_message, work_messages, work_of_messages};
use crate::sockets::{accept, set_options};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{
    Frame, FrameCodec, FrameError, RecordsAnswer, RecordsWanted, SourcePath, UsageHeard,
};
use bridgevane_types::{DataCentreId, TimeMs, VmId};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::Framed;

/// How long a daemon may take from one question to the next. Not measured, chosen because a
/// follower expires after 2 s; the rest spares a slow one a new connection.
const NEXT_QUESTION_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Answers on one connection from which one names siblings. Not measured, chosen because siblings change
/// seldom and some ten answers take two seconds or more.
const SIBLINGS_EVERY: u64 = 10;
/// Connections from other daemons at most. Measured in commit 45ec449: a seed had 115 at 301
/// daemons when all started at once, of 128 that were allowed then.
const MAX_CONNECTIONS: u64 = 512;

/// How long news of requests that end endpoints gather before they are told: an endpoint that ends makes
/// many at once. Not measured by itself, chosen as a quarter of the time that a busy question is held.
const GATHER_CRASH_NEWS: Duration = Duration::from_millis(50);

/// Answers until the daemon ends.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    let connections = Counter::default();
    loop {
        let stream = accept(&listener).await;
        let guard = connections.hold(1);
        if connections.get() > MAX_CONNECTIONS || set_options(&stream).is_err() {
            continue;
        }
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let _guard = guard;
            // A daemon that is gone, or sends what is no question, opens a new connection.
            let _ = serve(&gateway, stream).await;
        });
    }
}

/// Answers one daemon until it leaves, stays silent or sends what is no question.
async fn serve(gateway: &Gateway, stream: TcpStream) -> Result<(), FrameError> {
    let mut frames = Framed::new(stream, FrameCodec::default());
    // When the proof that was last sent on this connection was made.
    let mut sent_proof: Option<TimeMs> = None;
    let mut told_news = ToldNews::default();
    let mut answers = 0;
    loop {
        let Ok(Some(frame)) = timeout(NEXT_QUESTION_TIMEOUT, frames.next()).await else {
            return Ok(());
        };
        let question = match frame?.body {
            Some(Body::RecordsWanted(question)) => question,
            Some(Body::UsageReported(report)) => {
                let is_holder = gateway.duty_book.on_report(report_of_message(report));
                let body = Some(Body::UsageHeard(UsageHeard { is_holder }));
                frames.send(Frame { body }).await?;
                continue;
            }
            _ => return Ok(()),
        };
        note_proof(gateway, &question);
        crash_news::take_in(gateway, &question.crash_news);
        endpoint_notices::take_in(gateway, &question.endpoint_notices);
        let placement = if question.is_for_work {
            None
        } else {
            Some(place(gateway, &question))
        };
        let answer = match placement {
            None => RecordsAnswer {
                crash_news: told_news.next(gateway),
                ..place_in_tree(gateway)
            },
            Some(FollowerPlacement::Circle) => circle(gateway, &question),
            Some(FollowerPlacement::Redirect(address)) => redirection(gateway, address),
            Some(FollowerPlacement::Here) => {
                let asked_at = gateway.clock.now();
                let asked = Instant::now();
                wait_for_news(gateway, sent_proof, &told_news, &question, asked).await;
                let (parts, mut answer, proved_at) = records(gateway, &question, asked_at);
                for part in parts {
                    let body = Some(Body::RecordsAnswer(part));
                    frames.send(Frame { body }).await?;
                }
                sent_proof = proved_at;
                answer.crash_news = told_news.next(gateway);
                answer.endpoint_notices = endpoint_notices::messages(gateway);
                if answers % SIBLINGS_EVERY == 0 {
                    let siblings = gateway.fleet.siblings(&VmId::from(question.vm.as_str()));
                    answer.siblings = siblings.iter().map(ToString::to_string).collect();
                }
                answers += 1;
                answer
            }
        };
        let body = Some(Body::RecordsAnswer(answer));
        frames.send(Frame { body }).await?;
        if placement == Some(FollowerPlacement::Here) {
            let vm = VmId::from(question.vm.as_str());
            gateway.fleet.on_follower_answered(&vm);
        }
    }
}

/// Remembers an asking daemon whose proof is newer than this one's, if that is old.
fn note_proof(gateway: &Gateway, question: &RecordsWanted) {
    let Some(age_ms) = question.proof_age_ms else {
        return;
    };
    // A daemon without an address can't be followed.
    let Ok(address) = question.peer_address.parse() else {
        return;
    };
    // A proof from before the beginning of this daemon's clock is too old to be of use.
    let Some(proved_at) = gateway.clock.now().0.checked_sub(age_ms).map(TimeMs) else {
        return;
    };
    let limits = gateway.settings.proof_limits();
    let own_age = gateway.control.proof_age();
    let needed_from = limits.adopt_below;
    let is_needed = own_age.is_none_or(|age| age >= needed_from);
    if is_needed && Some(proved_at) > gateway.control.proved_at() {
        let report = FresherDaemon { address, proved_at };
        gateway.fleet.on_proof_report(report);
    }
}

/// This daemon's place in the tree, how recent it is, and the work of the daemons below it.
fn place_in_tree(gateway: &Gateway) -> RecordsAnswer {
    let tree = gateway.fleet.tree(&gateway.control.directory(), None);
    let path = gateway.fleet.path();
    let (at, proved_at) = gateway.control.proved_state();
    RecordsAnswer {
        at: at.0,
        data_centre: gateway.settings.data_centre.to_string(),
        proof_age_ms: proof_age_ms(gateway, proved_at),
        path: Some(path_message(&path)),
        work: work_messages(&tree.work),
        endpoint_notices: endpoint_notices::messages(gateway),
        ..Default::default()
    }
}

/// Shows the asking daemon that it would follow itself: it is in the path. Nothing is proved, since no
/// records go along.
fn circle(gateway: &Gateway, question: &RecordsWanted) -> RecordsAnswer {
    RecordsAnswer {
        data_centre: gateway.settings.data_centre.to_string(),
        path: Some(SourcePath {
            daemons: vec![question.peer_address.clone()],
            reaches_source: false,
        }),
        ..Default::default()
    }
}

/// The age of a proof now, never less than the truth.
fn proof_age_ms(gateway: &Gateway, proved_at: Option<TimeMs>) -> Option<u64> {
    let age = gateway.clock.now().since(proved_at?);
    Some(age.0 + CLOCK_GRAIN_MS)
}

/// Sends the daemon on to another one.
fn redirection(gateway: &Gateway, address: SocketAddr) -> RecordsAnswer {
    RecordsAnswer {
        data_centre: gateway.settings.data_centre.to_string(),
        redirect: address.to_string(),
        ..Default::default()
    }
}

/// Where the daemon is answered. Decided before any record is sent: a whole state is much for the link
/// of a small VM.
fn place(gateway: &Gateway, question: &RecordsWanted) -> FollowerPlacement {
    let Ok(address) = question.peer_address.parse() else {
        // Nobody can follow a daemon without an address; it is answered here.
        return FollowerPlacement::Here;
    };
    gateway.fleet.place(Follower {
        vm: VmId::from(question.vm.as_str()),
        data_centre: DataCentreId::from(question.data_centre.as_str()),
        address,
        tree: Tree {
            size: question.tree_size,
            depth: question.tree_depth,
            work: work_of_messages(&question.tree_work),
        },
    })
}

/// Waits until there is something that the daemon doesn't have, but not for long.
async fn wait_for_news(
    gateway: &Gateway,
    sent_proof: Option<TimeMs>,
    told_news: &ToldNews,
    question: &RecordsWanted,
    asked: Instant,
) {
    let mut progress = gateway.control.progress();
    let waiting = progress.wait_for(|_| {
        let has_changes = gateway.control.replica().revision() > Revision(question.at);
        let has_new_proof = gateway.control.proved_at() > sent_proof;
        has_changes || has_new_proof
    });
    let total_work = || gateway.fleet.total_work(&gateway.control.directory());
    let is_busy = !question.tree_work.is_empty()
        || !total_work().is_small()
        || gateway.quarantine.has_fresh_news();
    let limits = gateway.settings.proof_limits();
    let hold = hold(is_busy, gateway.control.proof_age(), limits).as_std();
    // Without news the answer says so: it shows that this daemon is there.
    let _ = timeout_at(asked + hold, async {
        tokio::select! {
            _ = async { waiting.await.is_ok() } => {}
            () = told_news.wait(gateway) => sleep(GATHER_CRASH_NEWS).await,
        }
    })
    .await;
}

/// The records that the daemon lacks, and the moment of the proof that goes along. Those that don't fit into the
/// last message stand in the ones before it.
fn records(
    gateway: &Gateway,
    question: &RecordsWanted,
    asked_at: TimeMs,
) -> (Vec<RecordsAnswer>, RecordsAnswer, Option<TimeMs>) {
    let after = Revision(question.at);
    let mut packed_state = gateway.packed_state.lock();
    // A proof is noted after the state that it proves: while the replica can't change, it holds at
    // least what the newest proof is about.
    let replica = gateway.control.replica();
    let proved_at = gateway.control.proved_at();
    let at = replica.revision();
    let update = packed_state.update(&replica, after, question.takes_parts);
    drop(replica);
    let mut parts = packed_state.parts(at, update, question.takes_parts);
    drop(packed_state);
    // Age and holding are of one moment: the follower takes one from the other.
    let proof_age_ms = proof_age_ms(gateway, proved_at);
    let held = gateway.clock.now().since(asked_at);
    let total_work = gateway.fleet.total_work(&gateway.control.directory());
    let path = gateway.fleet.path();
    // There is one at least.
    let last = parts.pop().unwrap_or_default();
    let answer = RecordsAnswer {
        at: at.0,
        path: Some(path_message(&path)),
        proof_age_ms,
        held_ms: held.0,
        data_centre: gateway.settings.data_centre.to_string(),
        // 0 says that it isn't known.
        fleet_size: gateway.fleet.size().unwrap_or_default(),
        work: work_messages(&total_work),
        ..last
    };
    (parts, answer, proved_at)
}
