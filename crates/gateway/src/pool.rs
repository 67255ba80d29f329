//! Connections to one endpoint that rest between requests.

use crate::connection::{Connection, Resting};
use std::sync::Mutex;
use std::time::Duration;

/// Connections that rest at an endpoint at most.
const MAX_RESTING: usize = 8;

#[derive(Debug, Default)]
struct State {
    resting: Vec<Resting>,
    is_closed: bool,
}

/// Resting connections, the newest on top.
#[derive(Debug, Default)]
pub struct IdleConnections {
    state: Mutex<State>,
}

impl IdleConnections {
    /// Takes the connection that has rested the shortest, if one may be used.
    pub fn take(&self) -> Option<Connection> {
        let mut state = self.state.lock().expect("no panic under this lock");
        while let Some(resting) = state.resting.pop() {
            if let Some(connection) = resting.wake() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection to rest for at most `limit`.
    pub fn put(&self, connection: Connection, limit: Duration) {
        let mut state = self.state.lock().expect("no panic under this lock");
        if state.is_closed {
            return;
        }
        if state.resting.len() >= MAX_RESTING {
            state.resting.remove(0);
        }
        state.resting.push(Resting::new(connection, limit));
    }

    /// Closes all of them; no other will rest here.
    pub fn close(&self) {
        let mut state = self.state.lock().expect("no panic under this lock");
        state.is_closed = true;
        state.resting.clear();
    }
}
