//! Crash check: when a connection to an endpoint breaks under a request, has the endpoint ended?
//!
//! Answers get lost, connections are reset and streams break off at endpoints that go on; only one
//! that takes no new connection has ended. One connection is opened to find out, whatever the number
//! of requests that broke there; at an endpoint that lives it is kept for the next request.

use crate::decisions::endpoint::idle_connections::idle_timeout;
use crate::decisions::resend::OpenError;
use crate::endpoints::connection::Connection;
use crate::endpoints::endpoint::Endpoint;
use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use bridgevane_types::RequestFingerprint;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long the new connection may take. Not measured, chosen because an endpoint that has ended
/// refuses after one round trip; silence says that the way there is cut, and proves nothing.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// A new connection that is closed within so long proves nothing, and another is opened: an endpoint
/// that ends closes its listener and its connections one after the other. Not measured.
const SETTLE: Duration = Duration::from_millis(10);
/// Connections that are opened at most in one check. Not measured, chosen because an endpoint ends
/// within some milliseconds.
const MAX_TRIES: usize = 3;

/// A connection to the endpoint broke while this request was under way there.
pub(crate) fn begin(gateway: &Arc<Gateway>, endpoint: &Arc<Endpoint>, request: RequestFingerprint) {
    if endpoint.lost_requests().add(request) {
        tokio::spawn(check(gateway.clone(), endpoint.clone()));
    }
}

/// Waits until the check that is under way has ended.
pub(crate) async fn finished(endpoint: &Endpoint) {
    // The request doesn't wait longer: such a check proves nothing.
    let _ = timeout(CHECK_TIMEOUT, endpoint.lost_requests().checked()).await;
}

/// Opens a connection that stays open for a moment.
async fn open_settled(address: SocketAddr) -> Result<Connection, OpenError> {
    for _ in 0..MAX_TRIES {
        let connection = Connection::open(address, CHECK_TIMEOUT).await?;
        sleep(SETTLE).await;
        if connection.is_open() {
            return Ok(connection);
        }
    }
    Err(OpenError::TimedOut)
}

async fn check(gateway: Arc<Gateway>, endpoint: Arc<Endpoint>) {
    let address = endpoint.record.load().address;
    let opened = open_settled(address).await;
    let lost = endpoint.lost_requests().end_check();
    match opened {
        Err(OpenError::Refused) => {
            event!(
                Event::EndpointCrashed,
                endpoint = endpoint.record.load().id,
                requests = lost.len()
            );
            gateway.quarantine.on_crashed(endpoint.hash, &lost);
        }
        Err(OpenError::TimedOut) => {}
        Ok(connection) => {
            if let Some(idle_timeout) = idle_timeout(None) {
                let max_idle = gateway.max_idle_connections(&endpoint);
                let idle_connections = &endpoint.idle_connections;
                let expires_at = gateway.clock.now() + idle_timeout;
                idle_connections.put(connection, expires_at, max_idle);
            }
        }
    }
    endpoint.lost_requests().release();
}
