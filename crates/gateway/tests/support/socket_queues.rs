//! What the kernel holds of a loopback connection, as `/proc/net/tcp` lists it.

use std::net::SocketAddr;
use tokio::net::TcpStream;

/// The state of an open connection.
const ESTABLISHED: &str = "01";

/// Returns the bytes that arrived at the other side of a stream, which hasn't read them; `None` once it
/// has closed the stream.
pub fn unread_bytes(stream: &TcpStream) -> Option<usize> {
    let (own, other) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the list of sockets");
    receive_queue(&sockets, other, own)
}

/// Returns the bytes in the receive queue of an open socket.
fn receive_queue(sockets: &str, local: SocketAddr, remote: SocketAddr) -> Option<usize> {
    let ends = [port_suffix(local), port_suffix(remote)];
    let mut rows = sockets
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<&str>>());
    let row = rows.find(|row| {
        let is_end = |at: usize| row.get(at + 1).is_some_and(|end| end.ends_with(&ends[at]));
        is_end(0) && is_end(1) && row.get(3) == Some(&ESTABLISHED)
    })?;
    let (_, receive) = row.get(4)?.split_once(':')?;
    usize::from_str_radix(receive, 16).ok()
}

fn port_suffix(address: SocketAddr) -> String {
    format!(":{:04X}", address.port())
}
