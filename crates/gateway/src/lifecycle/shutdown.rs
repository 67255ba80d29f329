//! The state of a planned stop, and the tasks that wait for its steps.
//!
//! Owns the steps as flags and notifications; [`super::stop`] executes them in order. The client
//! listener and the client connections wait for them.

use crate::clock::AtomicTime;
use bridgevane_types::TimeMs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How long a connection that is accepted after idle ones were closed may take to send a request.
/// Without this time, late connections were closed before their request arrived. Clients send at once
/// after they connect.
const LATE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// The state of the client listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerState {
    /// It accepts connections.
    Open,
    /// A stop has asked it to close.
    MustClose,
    /// It is closed.
    Closed,
}

/// The steps of a planned stop.
#[derive(Debug)]
pub struct Shutdown {
    is_stopping: AtomicBool,
    /// When the process ends at the latest.
    ends_at: AtomicTime,
    closes_idle: AtomicBool,
    idle_closing: Notify,
    listener: watch::Sender<ListenerState>,
}

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self {
            is_stopping: AtomicBool::new(false),
            ends_at: AtomicTime::default(),
            closes_idle: AtomicBool::new(false),
            idle_closing: Notify::new(),
            listener: watch::Sender::new(ListenerState::Open),
        }
    }

    /// Returns whether a stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns when the process ends at the latest, if a stop has begun.
    pub(crate) fn ends_at(&self) -> Option<TimeMs> {
        self.ends_at.get()
    }

    /// First step: marks the daemon as not ready, and makes connections close after their answers. The
    /// process ends at `ends_at` at the latest.
    pub fn begin(&self, ends_at: TimeMs) {
        self.ends_at.set(ends_at);
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Second step: asks the listener to close, and waits until it has.
    pub(crate) async fn close_listener(&self) {
        self.listener.send_replace(ListenerState::MustClose);
        let mut listener = self.listener.subscribe();
        // This can't fail: `self` owns the sender.
        let _ = listener
            .wait_for(|state| *state == ListenerState::Closed)
            .await;
    }

    /// Waits until the listener must close.
    pub(crate) async fn listener_close_requested(&self) {
        let mut listener = self.listener.subscribe();
        // This can't fail: `self` owns the sender.
        let _ = listener
            .wait_for(|state| *state != ListenerState::Open)
            .await;
    }

    /// Records that the listener was closed.
    pub(crate) fn on_listener_closed(&self) {
        self.listener.send_replace(ListenerState::Closed);
    }

    /// Third step: closes the clients' idle connections.
    pub(crate) fn close_idle(&self) {
        self.closes_idle.store(true, Ordering::Relaxed);
        self.idle_closing.notify_waiters();
    }

    /// Waits until an idle connection must close. A connection that is accepted after that step gets
    /// [`LATE_CONNECTION_TIMEOUT`].
    pub(crate) async fn idle_close_requested(&self) {
        // Created before the check, so that a notification between the two isn't missed.
        let idle_closing = self.idle_closing.notified();
        if self.closes_idle.load(Ordering::Relaxed) {
            return tokio::time::sleep(LATE_CONNECTION_TIMEOUT).await;
        }
        idle_closing.await;
    }
}
