//! How far a planned stop has come, and who waits for its steps.
//!
//! Owns the steps as flags and notifications; [`super::stop`] takes them in order. The client
//! listener and the clients' connections wait for them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How long a connection that is accepted after idle ones were closed may take to send a request.
/// Not measured by itself (commit bfa3ac1: late connections were cut); chosen because a client that
/// has connected sends at once.
const LATE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether new connections are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepting {
    /// They are.
    Open,
    /// A stop asks the listener to end.
    MustEnd,
    /// Nobody listens any more.
    Ended,
}

/// The steps of a planned stop.
#[derive(Debug)]
pub struct Shutdown {
    is_stopping: AtomicBool,
    closes_idle: AtomicBool,
    idle_closing: Notify,
    accepting: watch::Sender<Accepting>,
}

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self {
            is_stopping: AtomicBool::new(false),
            closes_idle: AtomicBool::new(false),
            idle_closing: Notify::new(),
            accepting: watch::Sender::new(Accepting::Open),
        }
    }

    /// Whether a stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// First step: the daemon is no longer ready, and connections close after their answers.
    pub fn begin(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Second step: asks the listener to end, and waits until it has.
    pub(crate) async fn end_accepting(&self) {
        self.accepting.send_replace(Accepting::MustEnd);
        let mut accepting = self.accepting.subscribe();
        // An error means that the sender is gone; it lives as long as `self`.
        let _ = accepting.wait_for(|state| *state == Accepting::Ended).await;
    }

    /// Waits until the listener must end.
    pub(crate) async fn accepting_must_end(&self) {
        let mut accepting = self.accepting.subscribe();
        // An error means that the sender is gone; it lives as long as `self`.
        let _ = accepting.wait_for(|state| *state != Accepting::Open).await;
    }

    /// The listener has ended.
    pub(crate) fn on_accepting_ended(&self) {
        self.accepting.send_replace(Accepting::Ended);
    }

    /// Third step: closes clients' idle connections.
    pub(crate) fn close_idle(&self) {
        self.closes_idle.store(true, Ordering::Relaxed);
        self.idle_closing.notify_waiters();
    }

    /// Waits until an idle connection must close; one that is accepted later has a moment.
    pub(crate) async fn idle_must_close(&self) {
        if self.closes_idle.load(Ordering::Relaxed) {
            return tokio::time::sleep(LATE_CONNECTION_TIMEOUT).await;
        }
        self.idle_closing.notified().await;
    }
}
