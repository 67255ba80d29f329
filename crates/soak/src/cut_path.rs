//! A path from one daemon to one worker that can be cut: like a network, it loses packets, so that new
//! connections hang or are refused, and open ones fall silent or are reset.

use derive_more::Display;
use std::io;
use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The listen backlog of a path that isn't cut.
const BACKLOG: u32 = 128;
/// The connections that fill the shortest backlog.
const FILLERS: usize = 2;
/// The time within which the kernel accepts a connection into a backlog with room.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// The state of a path.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum PathState {
    /// Everything passes.
    #[default]
    #[display("open")]
    Open,
    /// New connections hang, open ones are silent.
    #[display("silent")]
    Silent,
    /// New connections are refused, open ones are reset.
    #[display("reset")]
    Reset,
    /// New connections are refused, open ones live on.
    #[display("refusing")]
    Refusing,
}

/// A path; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct CutPath {
    /// The address at which the daemon reaches the worker.
    pub address: SocketAddr,
    state: watch::Sender<PathState>,
    listening: JoinHandle<()>,
}

impl Drop for CutPath {
    fn drop(&mut self) {
        self.listening.abort();
    }
}

impl CutPath {
    /// Opens a path to a worker.
    ///
    /// # Errors
    /// An error if no port is free.
    pub fn open(worker: SocketAddr) -> io::Result<Self> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(PathState::Open);
        let listening = tokio::spawn(run(listener, worker, state.subscribe()));
        Ok(Self {
            address,
            state,
            listening,
        })
    }

    /// Changes the state of the path.
    pub fn set(&self, state: PathState) {
        self.state.send_replace(state);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run(mut listener: TcpListener, worker: SocketAddr, mut state: watch::Receiver<PathState>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let current = *state.borrow_and_update();
        match current {
            PathState::Open => tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(carry(stream, worker, state.clone()));
                },
                _ = state.changed() => {}
            },
            PathState::Silent => {
                let fillers = fill_backlog(&listener, address);
                let is_alive = state.changed().await.is_ok();
                drop(fillers);
                let restored = socket2::SockRef::from(&listener).listen(BACKLOG as i32);
                if !is_alive || restored.is_err() {
                    return;
                }
            }
            PathState::Reset | PathState::Refusing => {
                drop(listener);
                if state.changed().await.is_err() {
                    return;
                }
                let Ok(again) = listen(address) else {
                    return;
                };
                listener = again;
            }
        }
    }
}

/// Fills a backlog of the shortest length, so that further connections get no answer.
fn fill_backlog(listener: &TcpListener, address: SocketAddr) -> Vec<BlockingStream> {
    if socket2::SockRef::from(listener).listen(0).is_err() {
        return Vec::new();
    }
    let fillers = (0..FILLERS).map(|_| BlockingStream::connect_timeout(&address, FILL_TIMEOUT));
    fillers.filter_map(Result::ok).collect()
}

/// Carries one connection until it ends or is cut. One that was silenced stays silent.
async fn carry(near: TcpStream, worker: SocketAddr, mut state: watch::Receiver<PathState>) {
    let Ok(far) = TcpStream::connect(worker).await else {
        return;
    };
    let (mut near, mut far) = (near, far);
    let cut = state.wait_for(|state| matches!(state, PathState::Silent | PathState::Reset));
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        _ = cut => {}
    }
    if *state.borrow() == PathState::Reset {
        // A connection that has just ended can't be reset; that is no error here.
        let _ = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
        return;
    }
    // The daemon gives the connection up long before the path heals; what it sent is lost.
    let _ = state.wait_for(|state| *state == PathState::Open).await;
}
