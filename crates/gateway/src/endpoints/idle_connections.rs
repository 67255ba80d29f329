//! The idle connections to one endpoint, as a stack with the newest on top.
//!
//! How many are kept and for how long is decided in
//! [`crate::decisions::endpoint::idle_connections`].

use crate::endpoints::connection::Connection;
use bridgevane_types::TimeMs;
use std::sync::{Mutex, MutexGuard};

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: TimeMs,
}

impl IdleConnection {
    /// Returns the connection if it may still be used.
    fn into_usable(self, now: TimeMs) -> Option<Connection> {
        let is_usable = self.connection.is_open() && now < self.expires_at;
        is_usable.then_some(self.connection)
    }
}

#[derive(Debug, Default)]
struct IdleState {
    idle: Vec<IdleConnection>,
    is_closed: bool,
}

/// The idle connections to one endpoint.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    state: Mutex<IdleState>,
}

impl IdleConnections {
    fn state(&self) -> MutexGuard<'_, IdleState> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Removes and returns the most recently used connection that may still be used.
    pub(crate) fn take(&self, now: TimeMs) -> Option<Connection> {
        let mut state = self.state();
        while let Some(idle) = state.idle.pop() {
            if let Some(connection) = idle.into_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection until `expires_at`; beyond `max_idle` the one that was unused the longest
    /// is closed.
    pub(crate) fn put(&self, connection: Connection, expires_at: TimeMs, max_idle: usize) {
        let mut state = self.state();
        if state.is_closed {
            return;
        }
        while state.idle.len() >= max_idle.max(1) {
            state.idle.remove(0);
        }
        state.idle.push(IdleConnection {
            connection,
            expires_at,
        });
    }

    /// Closes all of them and keeps no more, since the endpoint gets no more requests.
    pub(crate) fn close(&self) {
        let mut state = self.state();
        state.is_closed = true;
        state.idle.clear();
    }
}
