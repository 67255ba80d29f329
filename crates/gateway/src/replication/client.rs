//! Client for the replication protocol: polls another daemon for its replica of the control source.
//!
//! Owns one connection, to the daemon that is currently polled. Retries and the choice of the daemon
//! belong to [`super::follow`].

use crate::control::replica::ReplicaUpdate;
use crate::control::source::Revision;
use crate::decisions::replication::source_path::SourcePath;
use crate::gateway::Gateway;
use crate::replication::crash_observations::{self, SentCrashObservations};
use crate::replication::endpoint_notices;
use crate::replication::fleet::own_work;
use crate::replication::message::{
    CLOCK_RESOLUTION_MS, MAX_UNPACKED_BYTES, MessageError, decode_path, decode_revision,
    decode_update, decode_work, encode_work, parse_addresses,
};
use crate::replication::peer_connection::{FramedStream, open_connection};
use crate::replication::peer_error::PeerError;
use crate::replication::state_reports;
use crate::replication::stream_reports;
use crate::work_by_endpoint::WorkByEndpoint;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{
    CrashNews, EndpointNotice, Frame, RecordsAnswer, RecordsWanted, StateReport, StreamBegins,
};
use bridgevane_types::{ConfigVersion, DataCentreId, TimeMs};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Timeout for the answer to a probe. The answer is small and sent immediately; the rest allows for
/// a lost packet. A daemon that lost its parent may have to probe several unresponsive ones before
/// a change must be active.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the first answer on a connection. A daemon with a proof answers immediately, with
/// the changes of some seconds.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for later answers. A poll is held for up to 0.6 s (`server.rs`); the rest must cover
/// the network and a slow VM.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for the first message of a full state, which the sender packs first; the other messages
/// have [`ANSWER_TIMEOUT`] each, so that the total time grows with the fleet. With 301 daemons, a
/// state of 0.9 MB in one message took over a second on a shared link of 10 Mbit/s.
const FULL_STATE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The answer of another daemon.
#[derive(Debug)]
pub(crate) struct PeerAnswer {
    /// The revision up to which the other daemon is complete.
    pub(crate) at: Revision,
    /// When that revision was proved to be the newest, by this daemon's clock; never later than the
    /// actual time.
    pub(crate) proved_at: Option<TimeMs>,
    /// The records that this daemon lacks.
    pub(crate) update: ReplicaUpdate,
    /// The other daemon's data centre.
    pub(crate) data_centre: DataCentreId,
    /// The other daemon's path to the source.
    pub(crate) path: SourcePath,
    /// The daemon to poll from now on, if the other daemon redirects.
    pub(crate) redirect: Option<SocketAddr>,
    /// Some of the other daemon's other followers.
    pub(crate) siblings: Vec<SocketAddr>,
    /// The number of daemons, as far as the other daemon knows; 0: unknown.
    pub(crate) fleet_size: u32,
    /// The work that all daemons have under way.
    pub(crate) total_work: WorkByEndpoint,
    /// `total_work` without this daemon's own work at the time of the poll.
    pub(crate) others_work: WorkByEndpoint,
    /// Crash observations that the other daemon hadn't sent on this connection.
    crash_news: Vec<CrashNews>,
    stream_begins: Vec<StreamBegins>,
    endpoint_notices: Vec<EndpointNotice>,
    brittle_notices: Vec<EndpointNotice>,
    /// The version of the other daemon's configuration.
    pub(crate) config_version: ConfigVersion,
    /// The other daemon's state; a daemon of an earlier version reports none.
    pub(crate) state: Option<StateReport>,
}

/// A daemon's place in the tree, and the work that the daemons below it have under way.
#[derive(Debug)]
pub(crate) struct ProbeAnswer {
    /// The revision up to which the other daemon is complete.
    pub(crate) at: Revision,
    pub(crate) data_centre: DataCentreId,
    /// When its configuration was proved to be the newest, by this daemon's clock.
    pub(crate) proved_at: Option<TimeMs>,
    /// The other daemon's path to the source.
    pub(crate) path: SourcePath,
    /// The work that the other daemon and those below it have under way.
    pub(crate) tree_work: WorkByEndpoint,
    /// The version of the other daemon's configuration.
    pub(crate) config_version: ConfigVersion,
    /// The other daemon's state.
    pub(crate) state: Option<StateReport>,
}

/// A connection to one daemon, and the crash observations that were sent on it.
#[derive(Debug)]
struct OpenPeer {
    address: SocketAddr,
    frames: FramedStream,
    sent_observations: SentCrashObservations,
    /// Whether a poll by [`PeerClient::poll`] was answered on this connection.
    has_answered: bool,
}

impl OpenPeer {
    /// Returns the timeout for the first message of an answer; `after` is 0 for a full state.
    fn answer_timeout(&self, after: u64) -> Duration {
        if after == 0 {
            FULL_STATE_TIMEOUT
        } else if self.has_answered {
            ANSWER_TIMEOUT
        } else {
            FIRST_ANSWER_TIMEOUT
        }
    }
}

/// A client with at most one open connection.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    open: Option<OpenPeer>,
}

impl PeerClient {
    /// Polls a daemon for the records after `after`; 0 asks for the full state. A failure closes the
    /// connection.
    ///
    /// # Errors
    /// [`PeerError`] when there is no usable answer.
    pub(crate) async fn poll(
        &mut self,
        gateway: &Gateway,
        peer: SocketAddr,
        after: Revision,
    ) -> Result<PeerAnswer, PeerError> {
        let poll = records_poll(gateway, peer, after);
        self.send_records_poll(gateway, peer, poll).await
    }

    /// Reads a daemon's full state once, without following it. A failure closes the connection.
    ///
    /// # Errors
    /// [`PeerError`] when there is no usable answer.
    pub(crate) async fn fetch(
        &mut self,
        gateway: &Gateway,
        peer: SocketAddr,
    ) -> Result<PeerAnswer, PeerError> {
        let poll = RecordsWanted {
            is_single: true,
            ..records_poll(gateway, peer, Revision(0))
        };
        self.send_records_poll(gateway, peer, poll).await
    }

    async fn send_records_poll(
        &mut self,
        gateway: &Gateway,
        peer: SocketAddr,
        poll: RecordsWanted,
    ) -> Result<PeerAnswer, PeerError> {
        let mut open = self.connect(peer).await?;
        let own_work = own_work(gateway.clock.now(), &gateway.control.directory());
        let poll = RecordsWanted {
            crash_news: open.sent_observations.take_unsent(gateway),
            ..poll
        };
        let limit = open.answer_timeout(poll.at);
        let asked_at = gateway.clock.now();
        let first = send_poll(&mut open.frames, poll, limit).await?;
        let parts = receive_parts(&mut open.frames, first).await?;
        open.has_answered = true;
        self.open = Some(open);
        let answer = decode_answer(asked_at, parts, &own_work)?;
        crash_observations::apply(gateway, &answer.crash_news);
        stream_reports::apply(gateway, &answer.stream_begins);
        endpoint_notices::apply(gateway, &answer.endpoint_notices);
        endpoint_notices::apply_brittle(gateway, &answer.brittle_notices);
        Ok(answer)
    }

    /// Asks a daemon for its place in the tree, and for the work below it.
    ///
    /// # Errors
    /// [`PeerError`] when there is no usable answer.
    pub(crate) async fn probe(
        &mut self,
        gateway: &Gateway,
        peer: SocketAddr,
    ) -> Result<ProbeAnswer, PeerError> {
        let mut open = self.connect(peer).await?;
        let poll = RecordsWanted {
            is_for_work: true,
            endpoint_notices: endpoint_notices::current(gateway),
            brittle_notices: endpoint_notices::current_brittle(gateway),
            crash_news: open.sent_observations.take_unsent(gateway),
            peer_address: own_address(gateway),
            proof_age_ms: proof_age_ms(gateway),
            era: Some(gateway.control.replica().revision().era().0),
            state: state_reports::own(gateway),
            ..Default::default()
        };
        let asked_at = gateway.clock.now();
        let answer = send_poll(&mut open.frames, poll, PROBE_TIMEOUT).await?;
        crash_observations::apply(gateway, &answer.crash_news);
        stream_reports::apply(gateway, &answer.stream_begins);
        endpoint_notices::apply(gateway, &answer.endpoint_notices);
        endpoint_notices::apply_brittle(gateway, &answer.brittle_notices);
        self.open = Some(open);
        Ok(ProbeAnswer {
            at: decode_revision(answer.era, answer.at),
            data_centre: DataCentreId::from(answer.data_centre.as_str()),
            proved_at: proved_at(asked_at, &answer)?,
            path: decode_path(answer.path).map_err(PeerError::BadRecords)?,
            tree_work: decode_work(&answer.work),
            config_version: ConfigVersion(answer.config_version),
            state: answer.state,
        })
    }

    /// Closes the connection.
    pub(crate) fn close(&mut self) {
        self.open = None;
    }

    /// Returns the open connection if it leads to `peer`, or a new one.
    async fn connect(&mut self, peer: SocketAddr) -> Result<OpenPeer, PeerError> {
        if let Some(open) = self.open.take().filter(|open| open.address == peer) {
            return Ok(open);
        }
        Ok(OpenPeer {
            address: peer,
            frames: open_connection(peer).await?,
            sent_observations: SentCrashObservations::default(),
            has_answered: false,
        })
    }
}

/// Returns the poll for the records after a revision, with the reports of this daemon's subtree.
fn records_poll(gateway: &Gateway, peer: SocketAddr, after: Revision) -> RecordsWanted {
    let settings = &gateway.settings;
    let subtree = gateway
        .fleet
        .own_subtree(&gateway.control.directory(), Some(peer));
    RecordsWanted {
        vm: settings.vm.to_string(),
        data_centre: settings.data_centre.to_string(),
        peer_address: own_address(gateway),
        at: after.counter(),
        era: Some(after.era().0),
        tree_size: subtree.size,
        tree_depth: subtree.depth,
        tree_work: encode_work(&subtree.work),
        is_for_work: false,
        proof_age_ms: proof_age_ms(gateway),
        crash_news: Vec::new(),
        state: state_reports::own(gateway),
        is_single: false,
        takes_parts: true,
        endpoint_notices: endpoint_notices::current(gateway),
        brittle_notices: endpoint_notices::current_brittle(gateway),
    }
}

/// Returns this daemon's peer address; empty if it has none and can't be polled.
fn own_address(gateway: &Gateway) -> String {
    let address = gateway.settings.peer_address;
    address.map_or_else(String::new, |address| address.to_string())
}

/// Returns the age of this daemon's proof, never less than the actual age.
fn proof_age_ms(gateway: &Gateway) -> Option<u64> {
    let age = gateway.control.proof_age()?;
    Some(age.0 + CLOCK_RESOLUTION_MS)
}

/// Sends a poll and waits for the first message of the answer.
async fn send_poll(
    frames: &mut FramedStream,
    poll: RecordsWanted,
    limit: Duration,
) -> Result<RecordsAnswer, PeerError> {
    let asked_at = Instant::now();
    let body = Some(Body::RecordsWanted(poll));
    let sent = timeout(limit, frames.send(Frame { body })).await;
    let sent = sent.map_err(|_| PeerError::NoAnswer)?;
    sent.map_err(|_| PeerError::Broken)?;
    receive_answer(frames, limit.saturating_sub(asked_at.elapsed())).await
}

/// Receives the remaining messages of an answer. The limit on unpacked records also bounds the
/// bytes kept before unpacking, those of messages without a record included.
async fn receive_parts(
    frames: &mut FramedStream,
    first: RecordsAnswer,
) -> Result<Vec<RecordsAnswer>, PeerError> {
    let mut kept_bytes = kept_bytes_of(&first);
    let mut parts = vec![first];
    while parts.last().is_some_and(|part| part.has_more) {
        let part = receive_answer(frames, ANSWER_TIMEOUT).await?;
        kept_bytes += kept_bytes_of(&part);
        if kept_bytes > MAX_UNPACKED_BYTES {
            return Err(PeerError::BadRecords(MessageError::TooLarge));
        }
        parts.push(part);
    }
    Ok(parts)
}

fn kept_bytes_of(part: &RecordsAnswer) -> usize {
    size_of::<RecordsAnswer>() + part.encoded_len()
}

/// Waits for the next message of an answer.
async fn receive_answer(
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

/// Returns when the answering daemon's configuration was proved to be the newest, by this daemon's
/// clock. The answering daemon started to hold the poll after it was sent, so the answer was
/// made no earlier than `held_ms` after `asked_at`; subtracting the age of the proof gives a time
/// no later than the actual one. A proof from before the start of this daemon's clock counts as
/// none.
fn proved_at(asked_at: TimeMs, answer: &RecordsAnswer) -> Result<Option<TimeMs>, PeerError> {
    let answered_at = asked_at.0.checked_add(answer.held_ms);
    let answered_at = answered_at.ok_or(PeerError::Unreadable)?;
    let proved_at = |age_ms: u64| answered_at.checked_sub(age_ms).map(TimeMs);
    Ok(answer.proof_age_ms.and_then(proved_at))
}

/// Decodes the messages of an answer to a poll that was sent at `asked_at`.
fn decode_answer(
    asked_at: TimeMs,
    mut parts: Vec<RecordsAnswer>,
    own_work: &WorkByEndpoint,
) -> Result<PeerAnswer, PeerError> {
    let update = decode_update(&mut parts).map_err(PeerError::BadRecords)?;
    // The last message holds everything except earlier records.
    let answer = parts.pop().ok_or(PeerError::Unreadable)?;
    let total_work = decode_work(&answer.work);
    Ok(PeerAnswer {
        at: decode_revision(answer.era, answer.at),
        proved_at: proved_at(asked_at, &answer)?,
        update,
        data_centre: DataCentreId::from(answer.data_centre.as_str()),
        path: decode_path(answer.path).map_err(PeerError::BadRecords)?,
        // An empty address: there is no redirect.
        redirect: answer.redirect.parse().ok(),
        siblings: parse_addresses(&answer.siblings).map_err(PeerError::BadRecords)?,
        fleet_size: answer.fleet_size,
        others_work: total_work.minus(own_work),
        total_work,
        crash_news: answer.crash_news,
        stream_begins: answer.stream_begins,
        endpoint_notices: answer.endpoint_notices,
        brittle_notices: answer.brittle_notices,
        config_version: ConfigVersion(answer.config_version),
        state: answer.state,
    })
}
