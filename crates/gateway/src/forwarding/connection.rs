//! Connections for forwarded requests: a handshake by frames at the peer address of a daemon, then
//! HTTP/1.1.

use crate::counter::CountGuard;
use crate::endpoints::connection::Connection;
use crate::gateway::Gateway;
use crate::replication::peer_connection::{FramedStream, open_connection};
use bridgevane_events::{Event, event};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{DaemonPlace, ForwardingAnswer, ForwardingWanted, Frame, FrameError};
use bridgevane_types::{DataCentreId, ServiceName};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the other daemon's answer to the handshake may take. It is sent at once, or after a probe.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum number of connections for other daemons' requests. A request takes its body and some
/// KB of buffers, of the smallest VM's 88 MB.
const MAX_CONNECTIONS: u64 = 128;
/// The maximum number of further daemons that are named in an answer, and of those that serve.
const NAMED_DAEMONS: usize = 8;

/// A connection that another daemon accepted for requests of a service.
#[derive(Debug)]
pub(crate) struct OpenedConnection {
    pub(crate) connection: Connection,
    /// The daemon's data centre, as it names it itself.
    pub(crate) data_centre: DataCentreId,
}

/// Opens a connection for requests of a service to another daemon; `None` if it can't be reached, or
/// declines.
pub(crate) async fn open(
    gateway: &Gateway,
    daemon: SocketAddr,
    service: &ServiceName,
) -> Option<OpenedConnection> {
    // The caller logs each failure as declined, and asks another daemon.
    let mut frames = open_connection(daemon).await.ok()?;
    let answer = timeout(
        HANDSHAKE_TIMEOUT,
        shake_hands(gateway, service, &mut frames),
    )
    .await;
    let answer = answer.ok()??;
    let now = gateway.clock.now();
    let data_centre = DataCentreId::from(answer.data_centre.as_str());
    gateway.daemons.on_heard_of(now, daemon, Some(&data_centre));
    for (address, data_centre) in places(&answer.daemons) {
        let daemons = &gateway.daemons;
        daemons.on_heard_of(now, address, Some(&data_centre));
    }
    for (address, data_centre) in places(&answer.serving) {
        let daemons = &gateway.daemons;
        daemons.on_named_as_serving(now, address, &data_centre, service);
    }
    if !answer.is_accepted {
        return None;
    }
    // The other side sends nothing before the first request, so no byte was read ahead.
    let connection = Connection::over(frames.into_inner()).await.ok()?;
    Some(OpenedConnection {
        connection,
        data_centre,
    })
}

/// Decodes the places of daemons; those without a valid address are left out.
fn places(places: &[DaemonPlace]) -> impl Iterator<Item = (SocketAddr, DataCentreId)> {
    places.iter().filter_map(|place| {
        let address = place.peer_address.parse().ok()?;
        Some((address, DataCentreId::from(place.data_centre.as_str())))
    })
}

fn encode_places(places: Vec<(SocketAddr, DataCentreId)>) -> Vec<DaemonPlace> {
    let places = places.into_iter();
    places
        .map(|(address, data_centre)| DaemonPlace {
            peer_address: address.to_string(),
            data_centre: data_centre.to_string(),
        })
        .collect()
}

async fn shake_hands(
    gateway: &Gateway,
    service: &ServiceName,
    frames: &mut FramedStream,
) -> Option<ForwardingAnswer> {
    let wanted = ForwardingWanted {
        service: service.to_string(),
        vm: gateway.settings.vm.to_string(),
        data_centre: gateway.settings.data_centre.to_string(),
    };
    let body = Some(Body::ForwardingWanted(wanted));
    frames.send(Frame { body }).await.ok()?;
    match frames.next().await?.ok()?.body {
        Some(Body::ForwardingAnswer(answer)) => Some(answer),
        _ => None,
    }
}

/// A connection on which another daemon forwards requests.
#[derive(Debug)]
pub(crate) struct AcceptedConnection {
    pub(crate) stream: TcpStream,
    /// Counts the connection until it is served.
    pub(crate) counted: CountGuard,
}

/// Answers a daemon that wants to forward requests on this connection; `None` if that is declined.
/// `can_serve` is whether this daemon is ready and reaches the service.
pub(crate) async fn accept(
    gateway: &Gateway,
    mut frames: FramedStream,
    wanted: &ForwardingWanted,
    can_serve: bool,
) -> Result<Option<AcceptedConnection>, FrameError> {
    let counted = gateway.forwarded_connections.hold(1);
    let is_accepted = can_serve && gateway.forwarded_connections.get() <= MAX_CONNECTIONS;
    let service = ServiceName::from(wanted.service.as_str());
    let daemons = &gateway.daemons;
    let serving = daemons.serving(gateway.clock.now(), &service, NAMED_DAEMONS);
    let answer = ForwardingAnswer {
        is_accepted,
        data_centre: gateway.settings.data_centre.to_string(),
        daemons: encode_places(daemons.sample(NAMED_DAEMONS)),
        serving: encode_places(serving),
    };
    let body = Some(Body::ForwardingAnswer(answer));
    frames.send(Frame { body }).await?;
    event!(
        Event::ForwardingAsked,
        daemon = wanted.vm,
        service = service,
        is_accepted = is_accepted
    );
    Ok(is_accepted.then(|| AcceptedConnection {
        stream: frames.into_inner(),
        counted,
    }))
}
