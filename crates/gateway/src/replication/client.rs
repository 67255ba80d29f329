//! Asking another daemon for what it has followed.

use crate::control::replica::Update;
use crate::control::source::Revision;
use crate::endpoints::connection::tune;
use crate::gateway::Gateway;
use crate::replication::message::take_update;
use crate::replication::work::Work;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{Frame, FrameCodec, RecordsAnswer, RecordsWanted};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use derive_more::{Display, Error};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// How long a connection to a daemon may take to come up.
const OPEN_LIMIT: Duration = Duration::from_millis(300);
/// How long an answer may take, the holding of the question included.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// The same for everything at once: the answering daemon's link may be narrow.
const EVERYTHING_LIMIT: Duration = Duration::from_millis(3_000);

/// Why another daemon gave nothing.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// Nobody listens there.
    #[display("refused")]
    Refused,
    /// No answer in time.
    #[display("no answer")]
    NoAnswer,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// Its answer can't be read.
    #[display("unreadable answer")]
    Unreadable,
}

/// What another daemon told.
#[derive(Debug)]
pub(crate) struct PeerAnswer {
    /// It has every change up to this revision.
    pub(crate) at: Revision,
    /// When that was the newest, by this daemon's clock; never later than the truth.
    pub(crate) proved_at: Option<TimeMs>,
    /// What this daemon lacks.
    pub(crate) update: Update,
    /// Its data centre.
    pub(crate) data_centre: DataCentreId,
    /// Whom to ask from now on.
    pub(crate) redirect: Option<SocketAddr>,
    /// How many daemons there are at most; 0: it doesn't know.
    pub(crate) fleet_size: u32,
    /// The work of all daemons but this one.
    pub(crate) others_work: Work,
    /// The work of all daemons.
    pub(crate) total_work: Work,
}

/// Where a daemon is, and what its tree has under way.
#[derive(Debug)]
pub(crate) struct Located {
    pub(crate) data_centre: DataCentreId,
    pub(crate) tree_work: Work,
}

/// A connection to the daemon that is asked at present.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    open: Option<(SocketAddr, Framed<TcpStream, FrameCodec>)>,
}

impl PeerClient {
    /// Asks a daemon for what came after `at`. A failed call closes the connection.
    ///
    /// # Errors
    /// [`PeerError`] when it gives no answer that can be used.
    pub(crate) async fn ask(
        &mut self,
        gateway: &Gateway,
        peer: SocketAddr,
        at: Revision,
    ) -> Result<PeerAnswer, PeerError> {
        let kept = self.open.take().filter(|(address, _)| *address == peer);
        let mut frames = match kept {
            Some((_, frames)) => frames,
            None => open(peer).await?,
        };
        let settings = &gateway.settings;
        let own_work = gateway.own_work();
        // Each by itself: a guard would live to the end of the statement that makes the message.
        let tree_size = gateway.downstreams().tree_size(gateway.now());
        let tree_work = gateway.tree_work().messages();
        let wanted = RecordsWanted {
            vm: settings.vm.to_string(),
            data_centre: settings.data_centre.to_string(),
            peer_address: settings
                .peer_address
                .map_or_else(String::new, |a| a.to_string()),
            at: at.0,
            tree_size,
            tree_work,
            is_for_work: false,
        };
        let asked_at = gateway.now();
        let asking = exchange(&mut frames, wanted);
        let limit = if at == Revision(0) {
            EVERYTHING_LIMIT
        } else {
            ANSWER_LIMIT
        };
        let answer = timeout(limit, asking).await;
        let answer = answer.map_err(|_| PeerError::NoAnswer)??;
        self.open = Some((peer, frames));
        read(asked_at, answer, &own_work).ok_or(PeerError::Unreadable)
    }

    /// Asks another daemon where it is, and for the work of its tree.
    ///
    /// # Errors
    /// [`PeerError`] when it gives no answer that can be used.
    pub(crate) async fn ask_work(&mut self, peer: SocketAddr) -> Result<Located, PeerError> {
        let kept = self.open.take().filter(|(address, _)| *address == peer);
        let mut frames = match kept {
            Some((_, frames)) => frames,
            None => open(peer).await?,
        };
        let wanted = RecordsWanted {
            is_for_work: true,
            ..Default::default()
        };
        let answer = timeout(ANSWER_LIMIT, exchange(&mut frames, wanted)).await;
        let answer = answer.map_err(|_| PeerError::NoAnswer)??;
        self.open = Some((peer, frames));
        Ok(Located {
            data_centre: DataCentreId::from(answer.data_centre.as_str()),
            tree_work: Work::of_messages(&answer.work),
        })
    }

    /// Closes the connection.
    pub(crate) fn close(&mut self) {
        self.open = None;
    }
}

async fn open(peer: SocketAddr) -> Result<Framed<TcpStream, FrameCodec>, PeerError> {
    let connecting = timeout(OPEN_LIMIT, TcpStream::connect(peer)).await;
    let stream = connecting
        .map_err(|_| PeerError::NoAnswer)?
        .map_err(|_| PeerError::Refused)?;
    tune(&stream).map_err(|_| PeerError::Refused)?;
    Ok(Framed::new(stream, FrameCodec::default()))
}

async fn exchange(
    frames: &mut Framed<TcpStream, FrameCodec>,
    wanted: RecordsWanted,
) -> Result<RecordsAnswer, PeerError> {
    let body = Some(Body::RecordsWanted(wanted));
    let sent = frames.send(Frame { body }).await;
    sent.map_err(|_| PeerError::Broken)?;
    let frame = frames.next().await.ok_or(PeerError::Broken)?;
    match frame.map_err(|_| PeerError::Broken)?.body {
        Some(Body::RecordsAnswer(answer)) => Ok(answer),
        _ => Err(PeerError::Unreadable),
    }
}

/// The question had arrived when its holding began, and was sent no later: what was proved so
/// long before the end of the holding was proved no earlier than this works out.
fn read(asked_at: TimeMs, mut answer: RecordsAnswer, own_work: &Work) -> Option<PeerAnswer> {
    let total_work = Work::of_messages(&answer.work);
    let update = take_update(&mut answer)?;
    let answered_at = asked_at.0.checked_add(answer.held_ms)?;
    let proved_at = |age_ms: u64| answered_at.checked_sub(age_ms).map(TimeMs);
    Some(PeerAnswer {
        at: Revision(answer.at),
        proved_at: answer.proof_age_ms.and_then(proved_at),
        update,
        data_centre: DataCentreId::from(answer.data_centre.as_str()),
        redirect: answer.redirect.parse().ok(),
        fleet_size: answer.fleet_size,
        others_work: total_work.without(own_work),
        total_work,
    })
}

impl PeerAnswer {
    /// How old the proof is.
    pub(crate) fn proof_age(&self, now: TimeMs) -> Option<DurationMs> {
        Some(now.since(self.proved_at?))
    }
}
