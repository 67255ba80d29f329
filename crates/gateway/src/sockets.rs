//! What every socket of the daemon needs: options, and an accept loop that survives errors.
//!
//! Relies on Linux for `TCP_USER_TIMEOUT`.

use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long sent bytes may stay unacknowledged: a peer behind a cut closes nothing. Not measured,
/// chosen because a lost packet is sent again within some hundred milliseconds, and a caller that
/// waits longer has likely given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause after a failed accept, such as for want of descriptors. Not measured, chosen because
/// without one the daemon would spin until a descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection, however long that takes.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            // The connection is gone, or descriptors are short; both pass.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Sets the options of a connection.
///
/// # Errors
/// When the system refuses one.
pub(crate) fn set_options(stream: &TcpStream) -> Result<(), std::io::Error> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
