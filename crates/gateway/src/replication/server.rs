//! Answering daemons that follow this one.

use crate::control::source::Revision;
use crate::endpoints::connection::{accept, tune};
use crate::gateway::Gateway;
use crate::replication::downstreams::{Admission, Follower};
use crate::replication::message::put_update;
use crate::replication::work::Work;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{Frame, FrameCodec, FrameError, RecordsAnswer, RecordsWanted};
use bridgevane_types::{DataCentreId, TimeMs, VmId};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::Framed;

/// How long a question is held when there is nothing newer.
const HOLD: Duration = Duration::from_millis(600);
/// The same while there is work to tell.
const BUSY_HOLD: Duration = Duration::from_millis(200);
/// How long a daemon may take from one question to the next.
const QUESTION_LIMIT: Duration = Duration::from_millis(5_000);
/// Moments are whole milliseconds: an age may be so much more than their difference.
const CLOCK_GRAIN_MS: u64 = 1;
/// Connections of other daemons at most: when a large fleet starts, many ask a seed where it is.
const MAX_CONNECTIONS: u32 = 512;

/// Counts a connection while it is open.
struct Open(Arc<AtomicU32>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers until the daemon ends.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    let open = Arc::new(AtomicU32::new(0));
    loop {
        let stream = accept(&listener).await;
        let before = open.fetch_add(1, Ordering::Relaxed);
        let guard = Open(open.clone());
        if before >= MAX_CONNECTIONS || tune(&stream).is_err() {
            continue;
        }
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let _guard = guard;
            serve(&gateway, stream).await;
        });
    }
}

/// Answers one daemon until it leaves or stays silent.
async fn serve(gateway: &Gateway, stream: TcpStream) {
    let mut frames = Framed::new(stream, FrameCodec::default());
    // The moment that the proof told last on this connection is from.
    let mut told: Option<TimeMs> = None;
    loop {
        let Ok(Some(Ok(frame))) = timeout(QUESTION_LIMIT, frames.next()).await else {
            return;
        };
        let Some(Body::RecordsWanted(wanted)) = frame.body else {
            return;
        };
        if wanted.is_for_work {
            let answer = RecordsAnswer {
                data_centre: gateway.settings.data_centre.to_string(),
                work: gateway.tree_work().messages(),
                ..Default::default()
            };
            if send(&mut frames, answer).await.is_err() {
                return;
            }
            continue;
        }
        let asked = Instant::now();
        let answer = match redirect(gateway, &wanted) {
            Some(address) => RecordsAnswer {
                data_centre: gateway.settings.data_centre.to_string(),
                redirect: address.to_string(),
                ..Default::default()
            },
            None => {
                wait_for_news(gateway, told, &wanted, asked).await;
                let (answer, proved_at) = answer(gateway, &wanted, asked);
                told = proved_at;
                answer
            }
        };
        if send(&mut frames, answer).await.is_err() {
            return;
        }
    }
}

async fn send(
    frames: &mut Framed<TcpStream, FrameCodec>,
    answer: RecordsAnswer,
) -> Result<(), FrameError> {
    let body = Some(Body::RecordsAnswer(answer));
    frames.send(Frame { body }).await
}

/// Where the daemon shall ask instead, before anything is sent to it: all records at once are
/// much for the link of a small VM.
fn redirect(gateway: &Gateway, wanted: &RecordsWanted) -> Option<SocketAddr> {
    let follower = Follower {
        vm: VmId::from(wanted.vm.as_str()),
        data_centre: DataCentreId::from(wanted.data_centre.as_str()),
        address: wanted.peer_address.parse().ok()?,
        tree_size: wanted.tree_size,
        tree_work: Work::of_messages(&wanted.tree_work),
    };
    match gateway.downstreams().admit(gateway.now(), follower) {
        Admission::Here => None,
        Admission::Redirect(address) => Some(address),
    }
}

/// Waits until there is something that the daemon doesn't know, but not for long.
async fn wait_for_news(
    gateway: &Gateway,
    told: Option<TimeMs>,
    wanted: &RecordsWanted,
    asked: Instant,
) {
    let mut progress = gateway.progress();
    let waiting = progress.wait_for(|_| {
        let has_changes = gateway.replica().at() > Revision(wanted.at);
        let is_proved_anew = gateway.view.proved_at() > told;
        has_changes || is_proved_anew
    });
    let is_busy = !wanted.tree_work.is_empty() || !gateway.total_work().is_small();
    let hold = if is_busy { BUSY_HOLD } else { HOLD };
    // Without news the answer says so: this daemon is there.
    let _ = timeout_at(asked + hold, waiting).await;
}

/// The answer as things stand, and the moment that its proof is from.
fn answer(
    gateway: &Gateway,
    wanted: &RecordsWanted,
    asked: Instant,
) -> (RecordsAnswer, Option<TimeMs>) {
    // A proof is noted after the state that it proves: while the replica can't change, what it
    // holds is at least what the newest proof is about.
    let replica = gateway.replica();
    let proved_at = gateway.view.proved_at();
    let update = replica.update_since(Revision(wanted.at));
    let at = replica.at();
    drop(replica);
    let age = proved_at.map(|proved_at| gateway.now().since(proved_at));
    let mut answer = RecordsAnswer {
        at: at.0,
        proof_age_ms: age.map(|age| age.0 + CLOCK_GRAIN_MS),
        held_ms: asked.elapsed().as_millis() as u64,
        data_centre: gateway.settings.data_centre.to_string(),
        fleet_size: gateway.fleet_size().unwrap_or_default(),
        work: gateway.total_work().messages(),
        ..Default::default()
    };
    put_update(&mut answer, update);
    (answer, proved_at)
}
