//! The server at the peer address: answers daemons that follow this one, those that report their
//! usage to it, and those that forward requests.
//!
//! Owns the connections of followers. Answers are built from [`crate::control::state`] and
//! [`super::fleet`]; [`crate::decisions::replication::followers`] decides which followers are
//! answered here.

use crate::control::source::{Revision, SourceEra};
use crate::counter::Counter;
use crate::decisions::replication::completeness::Completeness;
use crate::decisions::replication::followers::{Follower, FollowerPlacement, Subtree};
use crate::decisions::replication::hold::max_hold;
use crate::duties::codec::{decode_report, encode_answer};
use crate::forwarding::connection::{self, AcceptedConnection};
use crate::forwarding::reach_probe;
use crate::gateway::Gateway;
use crate::replication::crash_observations::{self, SentCrashObservations};
use crate::replication::endpoint_notices;
use crate::replication::fleet::FresherDaemon;
use crate::replication::message::{CLOCK_RESOLUTION_MS, decode_work, encode_path, encode_work};
use crate::replication::state_reports;
use crate::replication::stream_reports::{self, SentStreams};
use crate::requests::client_listener;
use crate::sockets::{accept, set_options};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{
    ForwardingWanted, Frame, FrameCodec, FrameError, RecordsAnswer, RecordsWanted, SourcePath,
    StreamsBegunHeard,
};
use bridgevane_types::{DataCentreId, ServiceName, TimeMs, VmId};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::Framed;

/// Timeout for the next poll or report on a connection. A follower expires after 2 s; the rest saves
/// a slow one from reconnecting.
const NEXT_POLL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Of this many answers on a connection, one lists siblings. Siblings change seldom, and ten answers
/// take two seconds or more.
const SIBLINGS_EVERY: u64 = 10;
/// The maximum number of connections from other daemons. A seed had 115 when 301 daemons started at
/// once.
const MAX_CONNECTIONS: u64 = 512;

/// The delay for collecting crash observations before they are sent: an endpoint that crashes causes
/// many at once. It is a quarter of the time for which a poll is held while there is work.
const CRASH_OBSERVATION_DELAY: Duration = Duration::from_millis(50);

/// What was sent on one connection.
#[derive(Debug, Default)]
struct SentNews {
    observations: SentCrashObservations,
    streams: SentStreams,
    completeness: Option<Completeness>,
}

/// Serves other daemons until the daemon ends.
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
            // A daemon that broke the connection or the protocol has to reconnect.
            let _ = serve(&gateway, stream).await;
        });
    }
}

/// Serves one daemon until it disconnects, times out or breaks the protocol.
async fn serve(gateway: &Arc<Gateway>, stream: TcpStream) -> Result<(), FrameError> {
    let mut frames = Framed::new(stream, FrameCodec::default());
    // The time of the proof that was last sent on this connection.
    let mut sent_proof: Option<TimeMs> = None;
    let mut sent = SentNews::default();
    let mut answers = 0;
    loop {
        let Ok(Some(frame)) = timeout(NEXT_POLL_TIMEOUT, frames.next()).await else {
            return Ok(());
        };
        let poll = match frame?.body {
            Some(Body::RecordsWanted(poll)) => poll,
            Some(Body::UsageReported(report)) => {
                let answer = gateway.usage_tracker.on_report(decode_report(report));
                let body = Some(Body::UsageHeard(encode_answer(answer)));
                frames.send(Frame { body }).await?;
                continue;
            }
            Some(Body::StreamsBegun(report)) => {
                stream_reports::apply(gateway, &report.begins);
                let body = Some(Body::StreamsBegunHeard(StreamsBegunHeard {}));
                frames.send(Frame { body }).await?;
                continue;
            }
            Some(Body::ForwardingWanted(wanted)) => {
                let can_serve = can_serve_for_daemon(gateway, &wanted).await;
                let accepted = connection::accept(gateway, frames, &wanted, can_serve).await?;
                if let Some(AcceptedConnection { stream, counted }) = accepted {
                    client_listener::serve_daemon(gateway.clone(), stream).await;
                    drop(counted);
                }
                return Ok(());
            }
            _ => return Ok(()),
        };
        remember_fresher_daemon(gateway, &poll);
        state_reports::apply(gateway, poll.peer_address.parse().ok(), poll.state.as_ref());
        crash_observations::apply(gateway, &poll.crash_news);
        endpoint_notices::apply(gateway, &poll.endpoint_notices);
        endpoint_notices::apply_brittle(gateway, &poll.brittle_notices);
        let placement = if poll.is_for_work {
            None
        } else if poll.is_single {
            // A daemon above this one in the tree may ask, too.
            Some(FollowerPlacement::Here)
        } else {
            Some(place_follower(gateway, &poll))
        };
        let answer = match placement {
            None => RecordsAnswer {
                crash_news: sent.observations.take_unsent(gateway),
                ..probe_answer(gateway)
            },
            Some(FollowerPlacement::Cycle) => cycle_answer(gateway, &poll),
            Some(FollowerPlacement::Redirect(address)) => redirect_answer(gateway, address),
            Some(FollowerPlacement::Here) => {
                let asked_at = gateway.clock.now();
                let polled = Instant::now();
                wait_for_update(gateway, sent_proof, &sent, &poll, polled).await;
                let (parts, mut answer, proved_at) = records_answer(gateway, &poll, asked_at);
                for part in parts {
                    let body = Some(Body::RecordsAnswer(part));
                    frames.send(Frame { body }).await?;
                }
                sent_proof = proved_at;
                sent.completeness = Some(gateway.control.completeness());
                answer.crash_news = sent.observations.take_unsent(gateway);
                answer.stream_begins = sent.streams.take_unsent(gateway);
                answer.endpoint_notices = endpoint_notices::current(gateway);
                answer.brittle_notices = endpoint_notices::current_brittle(gateway);
                if answers % SIBLINGS_EVERY == 0 {
                    let siblings = gateway.fleet.siblings(&VmId::from(poll.vm.as_str()));
                    answer.siblings = siblings.iter().map(ToString::to_string).collect();
                }
                answers += 1;
                answer
            }
        };
        let body = Some(Body::RecordsAnswer(answer));
        frames.send(Frame { body }).await?;
        if placement == Some(FollowerPlacement::Here) {
            sent.streams.on_received(gateway);
            let vm = VmId::from(poll.vm.as_str());
            gateway.fleet.on_follower_answered(&vm);
        }
    }
}

/// Remembers a polling daemon whose proof is newer than this one's, if this one's is old.
fn remember_fresher_daemon(gateway: &Gateway, poll: &RecordsWanted) {
    let Some(age_ms) = poll.proof_age_ms else {
        return;
    };
    // A proof from before the source came back from a copy says nothing about the state since.
    let own_era = gateway.control.replica().revision().era();
    if poll.era.is_some_and(|era| era != own_era.0) {
        return;
    }
    // A daemon without an address can't be followed.
    let Ok(address) = poll.peer_address.parse() else {
        return;
    };
    // A proof from before the start of this daemon's clock is too old to be of use.
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

/// Returns the revision up to which a polling daemon is complete. One that knows no eras is assumed to
/// be in this daemon's: it would get the full state with every answer.
fn polled_revision(own: Revision, poll: &RecordsWanted) -> Revision {
    let era = poll.era.map_or(own.era(), SourceEra);
    if poll.at == 0 {
        return Revision(0);
    }
    Revision::new(era, poll.at)
}

/// Returns this daemon's place in the tree, its proof, and the work of the daemons below it.
fn probe_answer(gateway: &Gateway) -> RecordsAnswer {
    let subtree = gateway
        .fleet
        .own_subtree(&gateway.control.directory(), None);
    let path = gateway.fleet.path();
    let (at, proved_at) = gateway.control.proved_state();
    RecordsAnswer {
        at: at.counter(),
        era: Some(at.era().0),
        data_centre: gateway.settings.data_centre.to_string(),
        proof_age_ms: proof_age_ms(gateway.clock.now(), proved_at),
        path: Some(encode_path(&path)),
        work: encode_work(&subtree.work),
        endpoint_notices: endpoint_notices::current(gateway),
        brittle_notices: endpoint_notices::current_brittle(gateway),
        config_version: gateway.control.config_version().0,
        state: state_reports::own(gateway),
        ..Default::default()
    }
}

/// Returns an answer that shows the polling daemon that it would follow itself: the path contains
/// it. The answer has no records and no proof.
fn cycle_answer(gateway: &Gateway, poll: &RecordsWanted) -> RecordsAnswer {
    RecordsAnswer {
        data_centre: gateway.settings.data_centre.to_string(),
        path: Some(SourcePath {
            daemons: vec![poll.peer_address.clone()],
            reaches_source: false,
        }),
        ..Default::default()
    }
}

/// Returns the current age of a proof, never less than the actual age.
fn proof_age_ms(now: TimeMs, proved_at: Option<TimeMs>) -> Option<u64> {
    let age = now.since(proved_at?);
    Some(age.0 + CLOCK_RESOLUTION_MS)
}

/// Returns an answer that redirects the daemon to another one.
fn redirect_answer(gateway: &Gateway, address: SocketAddr) -> RecordsAnswer {
    RecordsAnswer {
        data_centre: gateway.settings.data_centre.to_string(),
        redirect: address.to_string(),
        ..Default::default()
    }
}

/// Returns whether this daemon can serve requests that another one wants to forward. A daemon of an
/// earlier version names no service; its requests are declined one by one.
async fn can_serve_for_daemon(gateway: &Arc<Gateway>, wanted: &ForwardingWanted) -> bool {
    if wanted.service.is_empty() || !gateway.is_ready() {
        return gateway.is_ready();
    }
    let service = ServiceName::from(wanted.service.as_str());
    reach_probe::reaches(gateway, &service).await
}

/// Decides which daemon answers. This happens before any record is sent: a full state is large for
/// the link of a small VM.
fn place_follower(gateway: &Gateway, poll: &RecordsWanted) -> FollowerPlacement {
    let Ok(address) = poll.peer_address.parse() else {
        // A daemon without an address can't be followed; it is answered here.
        return FollowerPlacement::Here;
    };
    let data_centre = DataCentreId::from(poll.data_centre.as_str());
    let now = gateway.clock.now();
    let daemons = &gateway.daemons;
    daemons.on_heard_of(now, address, Some(&data_centre));
    gateway.fleet.place_follower(Follower {
        vm: VmId::from(poll.vm.as_str()),
        data_centre,
        address,
        subtree: Subtree {
            size: poll.tree_size,
            depth: poll.tree_depth,
            work: decode_work(&poll.tree_work),
        },
    })
}

/// Waits until there is something new for the daemon, or until the hold time is over.
async fn wait_for_update(
    gateway: &Gateway,
    sent_proof: Option<TimeMs>,
    sent: &SentNews,
    poll: &RecordsWanted,
    polled: Instant,
) {
    let mut progress = gateway.control.progress();
    let waiting = progress.wait_for(|_| {
        let own = gateway.control.replica().revision();
        let has_changes = own > polled_revision(own, poll);
        let has_new_proof = gateway.control.proved_at() > sent_proof;
        let is_more_complete = sent
            .completeness
            .is_some_and(|sent| gateway.control.completeness() > sent);
        has_changes || has_new_proof || is_more_complete
    });
    let total_work = || gateway.fleet.total_work(&gateway.control.directory());
    let is_busy = !poll.tree_work.is_empty()
        || !total_work().has_no_urgent_prefill()
        || gateway.quarantine.has_recent_observations();
    let limits = gateway.settings.proof_limits();
    let max_hold = max_hold(is_busy, gateway.control.proof_age(), limits).as_std();
    // An answer without changes shows that this daemon is alive.
    let _ = timeout_at(polled + max_hold, async {
        tokio::select! {
            _ = async { waiting.await.is_ok() } => {}
            () = sent.observations.wait_for_unsent(gateway) => sleep(CRASH_OBSERVATION_DELAY).await,
            () = sent.streams.wait_for_unsent(gateway) => sleep(stream_reports::COLLECT_DELAY).await,
        }
    })
    .await;
}

/// Returns the records that the daemon lacks, and the time of their proof. Records that don't fit
/// into the last message are in the messages before it.
fn records_answer(
    gateway: &Gateway,
    poll: &RecordsWanted,
    asked_at: TimeMs,
) -> (Vec<RecordsAnswer>, RecordsAnswer, Option<TimeMs>) {
    let own = gateway.control.replica().revision();
    let after = polled_revision(own, poll);
    let mut packed_state = gateway.packed_state.lock();
    // A proof is stored after the state that it proves, so under the replica's lock the replica is
    // at least as new as the newest proof.
    let replica = gateway.control.replica();
    let proved_at = gateway.control.proved_at();
    let at = replica.revision();
    let update = packed_state.update_unless_packed(&replica, after, poll.takes_parts);
    drop(replica);
    let mut parts = packed_state.parts(update, poll.takes_parts);
    drop(packed_state);
    // Age and hold time refer to the same moment: the follower subtracts one from the other.
    let now = gateway.clock.now();
    let proof_age_ms = proof_age_ms(now, proved_at);
    let held = now.since(asked_at);
    let total_work = gateway.fleet.total_work(&gateway.control.directory());
    let path = gateway.fleet.path();
    // There is at least one part.
    let last = parts.pop().unwrap_or_default();
    let answer = RecordsAnswer {
        at: at.counter(),
        era: Some(at.era().0),
        config_version: gateway.control.config_version().0,
        state: state_reports::own(gateway),
        path: Some(encode_path(&path)),
        proof_age_ms,
        held_ms: held.0,
        data_centre: gateway.settings.data_centre.to_string(),
        // 0 means unknown.
        fleet_size: gateway.fleet.size().unwrap_or_default(),
        work: encode_work(&total_work),
        ..last
    };
    (parts, answer, proved_at)
}
