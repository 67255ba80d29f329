//! Crash check: finds out whether an endpoint has crashed when a connection to it breaks under a
//! request.
//!
//! Answers get lost, connections are reset and streams break off at endpoints that keep running;
//! only an endpoint that refuses a new connection has crashed. One check opens a connection for all
//! requests that broke at the endpoint; if the endpoint is running, the connection is kept for the
//! next request.

use crate::decisions::resend::OpenError;
use crate::endpoints::connection::Connection;
use crate::endpoints::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::requests::inbound::InboundRequest;
use bridgevane_decisions::crash_count::SETTLE_TIME;
use bridgevane_events::{Event, event};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The connect timeout of a check. A host whose endpoint has crashed refuses the connection after
/// one round trip; a timeout may be due to a network partition, and proves nothing.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a new connection must stay open to count. One that is closed earlier proves nothing, and
/// another is opened: a process that ends closes its listener and its connections one by one.
const MIN_OPEN_TIME: Duration = Duration::from_millis(10);
/// The most connections that one check opens. A process closes its sockets within some milliseconds.
const MAX_CONNECTS: usize = 3;

/// Starts a check after a connection to the endpoint broke under this request, unless one is running.
pub(crate) fn begin(gateway: &Arc<Gateway>, endpoint: &Arc<Endpoint>, inbound: &InboundRequest) {
    if endpoint.lost_requests().add(inbound.crash_suspects()) {
        tokio::spawn(check(gateway.clone(), endpoint.clone()));
    }
}

/// Waits until the running check has ended.
pub(crate) async fn wait_until_finished(endpoint: &Endpoint) {
    // The timeout is ignored: a check that takes longer proves nothing.
    let _ = timeout(CHECK_TIMEOUT, endpoint.lost_requests().wait_until_checked()).await;
}

/// Opens a connection that stays open for [`MIN_OPEN_TIME`].
async fn open_lasting(address: SocketAddr) -> Result<Connection, OpenError> {
    for _ in 0..MAX_CONNECTS {
        let connection = Connection::open(address, CHECK_TIMEOUT).await?;
        sleep(MIN_OPEN_TIME).await;
        if connection.is_open() {
            return Ok(connection);
        }
    }
    Err(OpenError::TimedOut)
}

async fn check(gateway: Arc<Gateway>, endpoint: Arc<Endpoint>) {
    let address = endpoint.record.load().address;
    let opened = open_lasting(address).await;
    let lost = endpoint.lost_requests().end_check();
    let is_crash = opened
        .as_ref()
        .is_err_and(|error| *error == OpenError::Refused);
    match opened {
        Err(OpenError::Refused) => {
            event!(
                Event::EndpointCrashed,
                endpoint = endpoint.record.load().id,
                requests = lost.iter().filter(|suspect| suspect.is_request()).count()
            );
            gateway.quarantine.on_crashed(endpoint.hash, &lost);
        }
        Err(OpenError::TimedOut) => {}
        Ok(connection) => gateway.keep_idle(gateway.clock.now(), &endpoint, connection),
    }
    endpoint.lost_requests().mark_checked();
    if is_crash {
        sleep(SETTLE_TIME.as_std()).await;
        gateway.quarantine.review();
    }
}
