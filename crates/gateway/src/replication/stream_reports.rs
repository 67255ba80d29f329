//! Reports of the software versions at which streams began, exchanged between daemons.
//!
//! Streams are reported upwards and between seeds on connections of their own, since a poll may be
//! held for long, and downwards with the answers to polls. Each side of a connection sends what it
//! hasn't sent on it yet, so that a new connection gets all.

use crate::decisions::eligibility::stream_version::VersionHash;
use crate::gateway::Gateway;
use crate::replication::peer_connection::{FramedStream, open_connection};
use crate::replication::peer_error::PeerError;
use crate::requests::begun_streams::{BegunStream, StreamCursor, StreamHash};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{Frame, StreamBegins, StreamsBegun};
use bridgevane_types::TimeMs;
use futures_util::{SinkExt, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The maximum number of streams per message, which take 16 KB; the rest follows with the next.
const MAX_STREAMS: usize = 4_096;
/// The delay for collecting streams before they are sent. An engine needs longer to its first event.
pub(super) const COLLECT_DELAY: Duration = Duration::from_millis(20);
/// The timeout for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// The delay after a report that failed: the upstream is replaced within some hundred milliseconds.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// The interval at which a seed that follows another daemon looks whether it follows the source.
const IDLE_PAUSE: Duration = Duration::from_millis(1_000);

/// The position up to which streams were sent on one connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentStreams {
    cursor: StreamCursor,
}

impl SentStreams {
    /// Returns the next streams for the other side, and advances.
    pub(super) fn take_unsent(&mut self, gateway: &Gateway) -> Vec<StreamBegins> {
        let begun = &gateway.begun_streams;
        let (streams, cursor) = begun.streams_after(self.cursor, MAX_STREAMS);
        self.cursor = cursor;
        encode(gateway.clock.now(), &streams)
    }

    /// Records that the other side has all that was sent.
    pub(super) fn on_received(&self, gateway: &Gateway) {
        gateway.begun_streams.on_known_elsewhere(self.cursor);
    }

    /// Waits until there are unsent streams.
    pub(super) async fn wait_for_unsent(&self, gateway: &Gateway) {
        gateway
            .begun_streams
            .wait_for_streams_after(self.cursor)
            .await;
    }
}

/// Starts reporting to other daemons; continues until the daemon ends.
pub(crate) fn start(gateway: &Arc<Gateway>) {
    tokio::spawn(report_repeatedly(gateway.clone(), Target::Upstream));
    let own = gateway.settings.peer_address;
    for seed in &gateway.settings.seed_addresses {
        if Some(*seed) != own {
            tokio::spawn(report_repeatedly(gateway.clone(), Target::Seed(*seed)));
        }
    }
}

/// A daemon that gets reports.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// The upstream, while this daemon follows another one.
    Upstream,
    /// A seed, while this daemon follows none.
    Seed(SocketAddr),
}

impl Target {
    fn address(self, gateway: &Gateway) -> Option<SocketAddr> {
        let upstream = gateway.fleet.path().daemons().first().copied();
        match (self, upstream) {
            (Self::Upstream, upstream) => upstream,
            (Self::Seed(seed), None) => Some(seed),
            (Self::Seed(_), Some(_)) => None,
        }
    }
}

/// A connection for reports.
#[derive(Debug)]
struct ReportConnection {
    address: SocketAddr,
    frames: FramedStream,
    sent: SentStreams,
}

async fn report_repeatedly(gateway: Arc<Gateway>, target: Target) {
    let mut open: Option<ReportConnection> = None;
    loop {
        let sent = open.as_ref().map(|open| open.sent).unwrap_or_default();
        sent.wait_for_unsent(&gateway).await;
        sleep(COLLECT_DELAY).await;
        let Some(address) = target.address(&gateway) else {
            open = None;
            sleep(IDLE_PAUSE).await;
            continue;
        };
        let connection = open.take().filter(|open| open.address == address);
        let is_reused = connection.is_some();
        match report(&gateway, connection, address).await {
            Ok(connection) => open = Some(connection),
            // The other daemon closes connections that were idle for long; a new one is tried at once.
            Err(_) if is_reused => {}
            // Not logged: polls to the same daemon fail, too, and log it.
            Err(_) => sleep(FAILURE_PAUSE).await,
        }
    }
}

/// Sends the next streams on this or a new connection, and waits for the answer.
async fn report(
    gateway: &Gateway,
    connection: Option<ReportConnection>,
    address: SocketAddr,
) -> Result<ReportConnection, PeerError> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => ReportConnection {
            address,
            frames: open_connection(address).await?,
            sent: SentStreams::default(),
        },
    };
    let begins = connection.sent.take_unsent(gateway);
    let body = Some(Body::StreamsBegun(StreamsBegun { begins }));
    let exchange = async {
        let sent = connection.frames.send(Frame { body }).await;
        sent.map_err(|_| PeerError::Broken)?;
        let frame = connection.frames.next().await.ok_or(PeerError::Broken)?;
        match frame.map_err(|_| PeerError::Broken)?.body {
            Some(Body::StreamsBegunHeard(_)) => Ok(()),
            _ => Err(PeerError::Unreadable),
        }
    };
    let answered = timeout(REPORT_TIMEOUT, exchange).await;
    answered.map_err(|_| PeerError::NoAnswer)??;
    connection.sent.on_received(gateway);
    Ok(connection)
}

/// Applies the streams that another daemon reports.
pub(super) fn apply(gateway: &Gateway, messages: &[StreamBegins]) {
    if messages.is_empty() {
        return;
    }
    let now = gateway.clock.now();
    let streams = messages.iter().flat_map(|message| decode(now, message));
    gateway.begun_streams.add(streams);
}

/// Groups streams by version and attempt.
fn encode(now: TimeMs, streams: &[BegunStream]) -> Vec<StreamBegins> {
    let mut groups: BTreeMap<(VersionHash, u32), StreamBegins> = BTreeMap::new();
    for begun in streams {
        let key = (begun.version, begun.attempt);
        let group = groups.entry(key).or_insert_with(|| StreamBegins {
            version: begun.version.0,
            attempt: begun.attempt,
            ..Default::default()
        });
        let age_ms = u32::try_from(now.since(begun.at).0).unwrap_or(u32::MAX);
        group.age_ms = group.age_ms.max(age_ms);
        group.streams.push(begun.stream.0);
    }
    groups.into_values().collect()
}

fn decode(now: TimeMs, message: &StreamBegins) -> impl Iterator<Item = BegunStream> {
    let at = TimeMs(now.0.saturating_sub(u64::from(message.age_ms)));
    let version = VersionHash(message.version);
    let attempt = message.attempt;
    let streams = message.streams.iter().copied();
    streams.map(move |stream| BegunStream {
        stream: StreamHash(stream),
        version,
        attempt,
        at,
    })
}
