//! Connections to one endpoint that rest between requests.

use crate::endpoints::connection::{Connection, Resting};
use std::sync::Mutex;
use std::time::Duration;

/// Connections that rest at an endpoint at most, whatever it takes.
const MAX_RESTING: usize = 8;
/// The part of the connections an endpoint takes that may rest, of all daemons together.
const RESTING_SHARE: f64 = 0.5;

/// How many of a daemon's connections may rest at an endpoint that takes `taken` of all
/// daemons; 0: as many as it likes.
pub fn resting_at_most(taken: u32, daemons: u32) -> usize {
    if taken == 0 {
        return MAX_RESTING;
    }
    let share = f64::from(taken) * RESTING_SHARE / f64::from(daemons.max(1));
    (share as usize).clamp(1, MAX_RESTING)
}

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

    /// Puts a connection to rest for at most `limit`, beside `most - 1` others at most.
    pub fn put(&self, connection: Connection, limit: Duration, most: usize) {
        let mut state = self.state.lock().expect("no panic under this lock");
        if state.is_closed {
            return;
        }
        while state.resting.len() >= most.max(1) {
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
