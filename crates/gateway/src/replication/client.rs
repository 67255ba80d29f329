//! Asking another daemon for what it has of the control source.
//!
//! Owns one connection, to the daemon that is asked at present. Retries and the choice of the
//! daemon are [`super::follow`]'s.

use crate::control::replica::Update;
use crate::control::source::Revision;
use crate::decisions::replication::source_path::SourcePath;
use crate::gateway::Gateway;
use crate::replication::crash_news::{self, ToldNews};
use crate::replication::endpoint_notices;
use crate::replication::fleet::own_work;
use crate::replication::message::{
    CLOCK_GRAIN_MS, MAX_UNPACKED_BYTES, MessageError, addresses_of_messages, path_of_message,
    take_update, work_messages, work_of_messages,
};
use crate::replication::peer_error::PeerError;
use crate::sockets::set_options;
use crate::work_by_endpoint::WorkByEndpoint;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{
    CrashNews, EndpointNotice, Frame, FrameCodec, RecordsAnswer, RecordsWanted,
};
use bridgevane_types::{DataCentreId, TimeMs};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

/// How long a connection to a daemon may take to come up. Not measured, chosen because a lost
/// opening packet is sent again only after a second, when another daemon has long answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the answer to a probe may take. Chosen because it is made at once, and small: what is left is for a lost packet.
/// A daemon that lost its parent may have to probe several silent ones before a change must be in force.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the first answer on a connection may take. Chosen because one that has a proof makes it at once; changes of
/// some seconds come with it.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a later answer may take. Chosen because a question is held for up to 0.6 s (`server.rs`),
/// and the rest must do for the way and a slow VM; not measured.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The same for the first message of a whole state, which its sender packs first; the others have
/// [`ANSWER_TIMEOUT`] each, so that the time for all of them grows with the fleet. Measured in commit 8f01409: a
/// state of 0.9 MB in one message over a link of 10 Mbit/s that others share took over a second at 301
/// daemons.
const WHOLE_STATE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// What another daemon answered.
#[derive(Debug)]
pub(crate) struct PeerAnswer {
    /// It has every change up to this revision.
    pub(crate) at: Revision,
    /// When that was proved to be the newest, by this daemon's clock; never later than the truth.
    pub(crate) proved_at: Option<TimeMs>,
    /// What this daemon lacks.
    pub(crate) update: Update,
    /// The other daemon's data centre.
    pub(crate) data_centre: DataCentreId,
    /// How it follows the source.
    pub(crate) path: SourcePath,
    /// Where to ask from now on, if it redirects.
    pub(crate) redirect: Option<SocketAddr>,
    /// Some of its other followers.
    pub(crate) siblings: Vec<SocketAddr>,
    /// How many daemons there are at most; 0: it doesn't know.
    pub(crate) fleet_size: u32,
    /// Work that all daemons have under way.
    pub(crate) total_work: WorkByEndpoint,
    /// The same without this daemon's own when it asked.
    pub(crate) others_work: WorkByEndpoint,
    /// What the other daemon hadn't told on this connection.
    crash_news: Vec<CrashNews>,
    endpoint_notices: Vec<EndpointNotice>,
}

/// A daemon's place in the tree, and the work that the daemons below it have under way.
#[derive(Debug)]
pub(crate) struct ProbeAnswer {
    /// It has every change up to this revision.
    pub(crate) at: Revision,
    pub(crate) data_centre: DataCentreId,
    /// When its configuration was proved to be the newest, by this daemon's clock.
    pub(crate) proved_at: Option<TimeMs>,
    /// How it follows the source.
    pub(crate) path: SourcePath,
    pub(crate) tree_work: WorkByEndpoint,
}

/// A connection between daemons.
pub(crate) type FramedStream = Framed<TcpStream, FrameCodec>;

/// A connection to one daemon, and what it was told there.
#[derive(Debug)]
struct OpenPeer {
    address: SocketAddr,
    frames: FramedStream,
    told_news: ToldNews,
    /// It has answered a question of [`PeerClient::ask`].
    has_answered: bool,
}

impl OpenPeer {
    /// How long the first message of the answer to a question may take.
    fn answer_timeout(&self, after: Revision) -> Duration {
        if after == Revision(0) {
            WHOLE_STATE_TIMEOUT
        } else if self.has_answered {
            ANSWER_TIMEOUT
        } else {
            FIRST_ANSWER_TIMEOUT
        }
    }
}

/// A connection to the daemon that is asked at present.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    open: Option<OpenPeer>,
}

impl PeerClient {
    /// Asks a daemon for what came after `after`; 0 asks for the whole state. A failed question
    /// closes the connection.
    ///
    /// # Errors
    /// [`PeerError`] when there is no answer that can be used.
    pub(crate) async fn ask(
        &mut self,
        gateway: &Gateway,
        peer: SocketAddr,
        after: Revision,
    ) -> Result<PeerAnswer, PeerError> {
        let mut open = self.connect(peer).await?;
        let own_work = own_work(&gateway.control.directory());
        let question = RecordsWanted {
            crash_news: open.told_news.next(gateway),
            ..question(gateway, peer, after)
        };
        let limit = open.answer_timeout(after);
        let asked_at = gateway.clock.now();
        let first = exchange(&mut open.frames, question, limit).await?;
        let parts = all_parts(&mut open.frames, first).await?;
        open.has_answered = true;
        self.open = Some(open);
        let answer = decode(asked_at, parts, &own_work)?;
        crash_news::take_in(gateway, &answer.crash_news);
        endpoint_notices::take_in(gateway, &answer.endpoint_notices);
        Ok(answer)
    }

    /// Asks a daemon for its place in the tree, and for the work below it.
    ///
    /// # Errors
    /// [`PeerError`] when there is no answer that can be used.
    pub(crate) async fn probe(
        &mut self,
        gateway: &Gateway,
        peer: SocketAddr,
    ) -> Result<ProbeAnswer, PeerError> {
        let mut open = self.connect(peer).await?;
        let question = RecordsWanted {
            is_for_work: true,
            endpoint_notices: endpoint_notices::messages(gateway),
            crash_news: open.told_news.next(gateway),
            peer_address: own_address(gateway),
            proof_age_ms: proof_age_ms(gateway),
            ..Default::default()
        };
        let asked_at = gateway.clock.now();
        let answer = exchange(&mut open.frames, question, PROBE_TIMEOUT).await?;
        crash_news::take_in(gateway, &answer.crash_news);
        endpoint_notices::take_in(gateway, &answer.endpoint_notices);
        self.open = Some(open);
        Ok(ProbeAnswer {
            at: Revision(answer.at),
            data_centre: DataCentreId::from(answer.data_centre.as_str()),
            proved_at: proved_at(asked_at, &answer)?,
            path: path_of_message(answer.path).map_err(PeerError::BadRecords)?,
            tree_work: work_of_messages(&answer.work),
        })
    }

    /// Closes the connection.
    pub(crate) fn close(&mut self) {
        self.open = None;
    }

    /// The open connection, if it leads to `peer`, or a new one.
    async fn connect(&mut self, peer: SocketAddr) -> Result<OpenPeer, PeerError> {
        if let Some(open) = self.open.take().filter(|open| open.address == peer) {
            return Ok(open);
        }
        Ok(OpenPeer {
            address: peer,
            frames: open(peer).await?,
            told_news: ToldNews::default(),
            has_answered: false,
        })
    }
}

/// Opens a connection to another daemon.
pub(crate) async fn open(peer: SocketAddr) -> Result<FramedStream, PeerError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = connecting
        .map_err(|_| PeerError::NoAnswer)?
        .map_err(|_| PeerError::Refused)?;
    set_options(&stream).map_err(|_| PeerError::Refused)?;
    Ok(Framed::new(stream, FrameCodec::default()))
}

/// The question to a daemon for what came after a revision, with what this daemon's tree reports.
fn question(gateway: &Gateway, peer: SocketAddr, after: Revision) -> RecordsWanted {
    let settings = &gateway.settings;
    let tree = gateway.fleet.tree(&gateway.control.directory(), Some(peer));
    RecordsWanted {
        vm: settings.vm.to_string(),
        data_centre: settings.data_centre.to_string(),
        peer_address: own_address(gateway),
        at: after.0,
        tree_size: tree.size,
        tree_depth: tree.depth,
        tree_work: work_messages(&tree.work),
        is_for_work: false,
        proof_age_ms: proof_age_ms(gateway),
        crash_news: Vec::new(),
        takes_parts: true,
        endpoint_notices: endpoint_notices::messages(gateway),
    }
}

/// This daemon's peer address; empty: nobody can ask it.
fn own_address(gateway: &Gateway) -> String {
    let address = gateway.settings.peer_address;
    address.map_or_else(String::new, |address| address.to_string())
}

/// The age of this daemon's proof, never less than the truth.
fn proof_age_ms(gateway: &Gateway) -> Option<u64> {
    let age = gateway.control.proof_age()?;
    Some(age.0 + CLOCK_GRAIN_MS)
}

/// Asks, and waits so long for the first message of the answer.
async fn exchange(
    frames: &mut FramedStream,
    question: RecordsWanted,
    limit: Duration,
) -> Result<RecordsAnswer, PeerError> {
    let asked_at = Instant::now();
    let body = Some(Body::RecordsWanted(question));
    let sent = timeout(limit, frames.send(Frame { body })).await;
    let sent = sent.map_err(|_| PeerError::NoAnswer)?;
    sent.map_err(|_| PeerError::Broken)?;
    next_answer(frames, limit.saturating_sub(asked_at.elapsed())).await
}

/// The messages of an answer, of which the first has come. What they may unpack to bounds what is kept of them
/// before they are unpacked, too.
async fn all_parts(
    frames: &mut FramedStream,
    first: RecordsAnswer,
) -> Result<Vec<RecordsAnswer>, PeerError> {
    let mut kept_bytes = first.encoded_len();
    let mut parts = vec![first];
    while parts.last().is_some_and(|part| part.has_more) {
        let part = next_answer(frames, ANSWER_TIMEOUT).await?;
        kept_bytes += part.encoded_len();
        if kept_bytes > MAX_UNPACKED_BYTES {
            return Err(PeerError::BadRecords(MessageError::TooLarge));
        }
        parts.push(part);
    }
    Ok(parts)
}

/// Waits so long for the next message.
async fn next_answer(
    frames: &mut FramedStream,
    limit: Duration,
) -> Result<RecordsAnswer, PeerError> {
    let frame = timeout(limit, frames.next()).await;
    let frame = frame.map_err(|_| PeerError::NoAnswer)?;
    let frame = frame.ok_or(PeerError::Broken)?;
    match frame.map_err(|_| PeerError::Broken)?.body {
        Some(Body::RecordsAnswer(answer)) => Ok(answer),
        _ => Err(PeerError::Unreadable),
    }
}

/// When the answering daemon's configuration was proved to be the newest, by this daemon's clock. The
/// question had arrived when its holding began, and was sent no later: what was proved so long before
/// the end of the holding was proved no earlier than this works out. A proof from before the beginning
/// of this daemon's clock counts as none.
fn proved_at(asked_at: TimeMs, answer: &RecordsAnswer) -> Result<Option<TimeMs>, PeerError> {
    let answered_at = asked_at.0.checked_add(answer.held_ms);
    let answered_at = answered_at.ok_or(PeerError::Unreadable)?;
    let proved_at = |age_ms: u64| answered_at.checked_sub(age_ms).map(TimeMs);
    Ok(answer.proof_age_ms.and_then(proved_at))
}

/// Reads the messages of an answer to a question of `asked_at`.
fn decode(
    asked_at: TimeMs,
    mut parts: Vec<RecordsAnswer>,
    own_work: &WorkByEndpoint,
) -> Result<PeerAnswer, PeerError> {
    let update = take_update(&mut parts).map_err(PeerError::BadRecords)?;
    // All but records stands in the last one.
    let answer = parts.pop().ok_or(PeerError::Unreadable)?;
    let total_work = work_of_messages(&answer.work);
    Ok(PeerAnswer {
        at: Revision(answer.at),
        proved_at: proved_at(asked_at, &answer)?,
        update,
        data_centre: DataCentreId::from(answer.data_centre.as_str()),
        path: path_of_message(answer.path).map_err(PeerError::BadRecords)?,
        // An empty text says that it doesn't redirect.
        redirect: answer.redirect.parse().ok(),
        siblings: addresses_of_messages(&answer.siblings).map_err(PeerError::BadRecords)?,
        fleet_size: answer.fleet_size,
        others_work: total_work.without(own_work),
        total_work,
        crash_news: answer.crash_news,
        endpoint_notices: answer.endpoint_notices,
    })
}
