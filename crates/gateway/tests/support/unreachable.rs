//! Addresses at which nothing accepts a connection.

use socket2::{Domain, SockAddr, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Connections that fill the listen backlog of [`UnreachableAddress::hanging`].
const BACKLOG_FILLERS: usize = 2;

/// An address that no other socket takes while this value exists.
pub struct UnreachableAddress {
    pub address: SocketAddr,
    socket: Socket,
    _fillers: Vec<TcpStream>,
}

impl UnreachableAddress {
    fn bind() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&SockAddr::from(any)).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Self {
            address,
            socket,
            _fillers: Vec::new(),
        }
    }

    /// Refuses connections.
    pub fn refusing() -> Self {
        Self::bind()
    }

    /// Leaves connections without an answer.
    pub fn hanging() -> Self {
        let mut unreachable = Self::bind();
        unreachable.socket.listen(0).unwrap();
        for _ in 0..BACKLOG_FILLERS {
            let address = unreachable.address;
            let filler = TcpStream::connect_timeout(&address, Duration::from_millis(100));
            unreachable._fillers.extend(filler);
        }
        unreachable
    }

    /// Accepts connections from now on, as a listener in place of this value.
    pub fn heal(self) -> tokio::net::TcpListener {
        self.socket.listen(128).unwrap();
        self.socket.set_nonblocking(true).unwrap();
        tokio::net::TcpListener::from_std(self.socket.into()).unwrap()
    }
}
