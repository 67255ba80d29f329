//! Socket options of the daemon, and an accept loop that survives errors.
//!
//! Relies on Linux for `TCP_USER_TIMEOUT`.

use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long sent bytes may stay unacknowledged before the connection fails: a peer on the other side
/// of a network partition never closes its connection. A lost packet is sent again within some
/// hundred milliseconds, and few callers wait longer than this.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause after a failed accept. Without it the daemon would spin while no file descriptor is
/// free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection, and retries after errors.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            // The connection was closed again, or no file descriptor is free; both are temporary.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Sets the options of a connection.
///
/// # Errors
/// The error of the system if it rejects an option.
pub fn set_options(stream: &TcpStream) -> Result<(), std::io::Error> {
    set_options_with_timeout(stream, UNACKNOWLEDGED_TIMEOUT)
}

/// Sets the options of a connection on which sent bytes may stay unacknowledged, and the peer's
/// receive window closed, for `unacknowledged`.
///
/// # Errors
/// The error of the system if it rejects an option.
pub(crate) fn set_options_with_timeout(
    stream: &TcpStream,
    unacknowledged: Duration,
) -> Result<(), std::io::Error> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(unacknowledged))
}
