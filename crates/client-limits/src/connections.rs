//! The connections of clients: which are served, and which one is closed when there is no room.
//!
//! Inputs: the room of [`ClientMemory`], the maximum number of connections, and for each connection whether a
//! request is in progress on it, since when it waits for one, and whether a head has begun to arrive.
//!
//! Rules:
//! 1. A new connection is served if there is room for the most that it may use.
//! 2. If there is none, the connection that has waited longest for a whole head is closed in its favour, also
//!    for a body that needs room. A connection on which a request is in progress, or whose client hasn't taken
//!    its last answer yet, is never closed for that.
//!    Neither is that of another daemon: it holds requests back which that daemon has taken on.
//! 3. If no connection can be closed, the new one is, before a byte of it is read.
//! 4. A head that doesn't arrive within its time ends its connection. Behind a body that wasn't read to its end
//!    the time doesn't count, since what arrives may be the rest of that body.
//!
//! Reason: a client that sends its request at once is served whatever others do, since those that send
//! nothing, or no end of a head, wait longest; a client whose resting connection is closed opens another one.
//! Nothing of its request was read, so that it may send it again.

use crate::memory::{ClientMemory, HeldMemory};
use crate::plan::connection_memory;
use bridgevane_events::{Event, event};
use bridgevane_types::Bytes;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, interval, timeout};

/// How often late heads are looked for.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often closed and refused connections are logged, in checks of heads.
const CHECKS_PER_LOG: u32 = 4;
/// How long a new connection waits until the room of a closed one is free. The task of the closed one only has
/// to run once.
const ROOM_TIMEOUT: Duration = Duration::from_millis(250);

/// The connections of clients.
#[derive(Debug)]
pub struct ClientConnections {
    memory: Arc<ClientMemory>,
    max_connections: usize,
    state: Mutex<State>,
    /// Notified when a connection has ended.
    ended: Notify,
    closed: AtomicU64,
    refused: AtomicU64,
    late_heads: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    /// The number of times that a connection has begun to wait for a request.
    waits: u64,
    /// The connections that wait for a request; the one that has waited longest is first.
    waiting: BTreeMap<u64, Arc<Shared>>,
}

/// What clients make a process hold, and how many connections were turned away since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientUsage {
    /// The open connections.
    pub open: usize,
    /// What connections and bodies hold.
    pub held: Bytes,
    /// The connections that were closed in favour of others.
    pub closed: u64,
    /// The connections that found no room.
    pub refused: u64,
    /// The connections that were closed since a head arrived too slowly.
    pub late_heads: u64,
}

/// What is known of one connection.
#[derive(Debug)]
struct Shared {
    must_close: Notify,
    /// Whether its client hasn't taken all that was written.
    has_unsent: AtomicBool,
    /// Whether all of the last request's body was read. What arrives is the rest of it otherwise, also after
    /// the answer.
    has_read_body: AtomicBool,
    head: Mutex<Head>,
}

/// How the head of the next request arrives.
#[derive(Clone, Copy, Debug, Default)]
enum Head {
    /// A request is in progress, or the rest of its body may arrive.
    #[default]
    NotAwaited,
    Awaited,
    BeganAt(Instant),
}

impl ClientConnections {
    /// Creates the connections of a process.
    pub fn new(memory: Arc<ClientMemory>, max_connections: usize) -> Arc<Self> {
        Arc::new(Self {
            memory,
            max_connections,
            state: Mutex::default(),
            ended: Notify::new(),
            closed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            late_heads: AtomicU64::new(0),
        })
    }

    /// Admits a new connection on which heads may have this size; `None` if there is no room.
    pub async fn admit(self: &Arc<Self>, max_head: Bytes) -> Option<ClientConnection> {
        let admitted = self.make_room(|| self.try_admit(max_head, true)).await;
        if admitted.is_none() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            self.memory.on_refusal();
        }
        admitted
    }

    /// Closes waiting connections until `take` gets the room that it needs; `None` if that doesn't help.
    async fn make_room<T>(&self, take: impl Fn() -> Option<T>) -> Option<T> {
        let making = async {
            loop {
                // Created before the check, so that a notification between the two isn't missed.
                let ended = self.ended.notified();
                if let Some(taken) = take() {
                    return Some(taken);
                }
                if !self.close_longest_waiting() {
                    return None;
                }
                ended.await;
            }
        };
        timeout(ROOM_TIMEOUT, making).await.unwrap_or(None)
    }

    /// Admits the connection of another daemon, which is never closed for others; `None` if there is no room.
    pub async fn admit_daemon(self: &Arc<Self>, max_head: Bytes) -> Option<ClientConnection> {
        self.make_room(|| self.try_admit(max_head, false)).await
    }

    fn try_admit(self: &Arc<Self>, max_head: Bytes, is_closable: bool) -> Option<ClientConnection> {
        let mut state = self.state();
        if state.open >= self.max_connections {
            return None;
        }
        let memory = self.memory.try_hold(connection_memory(max_head))?;
        state.open += 1;
        let connection = ClientConnection {
            connections: self.clone(),
            shared: Arc::new(Shared::new()),
            is_closable,
            wait: AtomicU64::new(NO_WAIT),
            memory: Some(memory),
        };
        connection.begin_wait(&mut state);
        Some(connection)
    }

    /// Holds this much for a body; `None` if there is no room.
    pub(crate) async fn hold(&self, bytes: Bytes) -> Option<HeldMemory> {
        self.make_room(|| self.memory.try_hold(bytes)).await
    }

    /// Returns the memory that the connections share with bodies.
    pub(crate) fn memory(&self) -> &Arc<ClientMemory> {
        &self.memory
    }

    /// Closes the connection that has waited longest for a request; returns whether there is one.
    fn close_longest_waiting(&self) -> bool {
        let mut state = self.state();
        let is_taken = |shared: &Shared| !shared.has_unsent.load(Ordering::Relaxed);
        let longest = state.waiting.iter().find(|(_, shared)| is_taken(shared));
        let Some(wait) = longest.map(|(wait, _)| *wait) else {
            return false;
        };
        if let Some(shared) = state.waiting.remove(&wait) {
            shared.must_close.notify_one();
        }
        self.closed.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Closes connections whose heads arrive too slowly, and logs what was closed and refused, until the
    /// process ends. `head_timeout` returns the time that a head may take.
    pub async fn watch(self: Arc<Self>, head_timeout: impl Fn() -> Duration) {
        let mut checks = interval(HEAD_CHECK_INTERVAL);
        let mut logged = ClientUsage::default();
        loop {
            for _ in 0..CHECKS_PER_LOG {
                checks.tick().await;
                self.close_late_heads(head_timeout());
            }
            let usage = self.usage();
            log_turned_away(logged, usage);
            logged = usage;
        }
    }

    /// Returns what clients make the process hold, and how many connections were turned away.
    pub fn usage(&self) -> ClientUsage {
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        ClientUsage {
            open: self.state().open,
            held: self.memory.held(),
            closed: count(&self.closed),
            refused: count(&self.refused),
            late_heads: count(&self.late_heads),
        }
    }

    fn close_late_heads(&self, head_timeout: Duration) {
        let mut state = self.state();
        let is_late = |shared: &Shared| match *shared.head() {
            Head::BeganAt(began) => began.elapsed() > head_timeout,
            Head::Awaited | Head::NotAwaited => false,
        };
        state.waiting.retain(|_, shared| {
            let is_late = is_late(shared);
            if is_late {
                shared.must_close.notify_one();
                self.late_heads.fetch_add(1, Ordering::Relaxed);
            }
            !is_late
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code panics while it holds the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes a line if connections were turned away since the last one.
fn log_turned_away(last: ClientUsage, now: ClientUsage) {
    let closed = now.closed - last.closed;
    let refused = now.refused - last.refused;
    let late_heads = now.late_heads - last.late_heads;
    if closed + refused + late_heads == 0 {
        return;
    }
    event!(
        Event::ClientsTurnedAway,
        closed = closed,
        refused = refused,
        late_heads = late_heads,
        open = now.open,
        held_bytes = now.held
    );
}

impl Shared {
    /// Returns what is known of a new connection.
    fn new() -> Self {
        Self {
            must_close: Notify::new(),
            has_unsent: AtomicBool::new(false),
            has_read_body: AtomicBool::new(true),
            head: Mutex::default(),
        }
    }

    fn head(&self) -> MutexGuard<'_, Head> {
        // No code panics while it holds the lock.
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The wait of a connection on which a request is in progress.
const NO_WAIT: u64 = 0;

/// An admitted connection. Its room is given back when this is dropped.
#[derive(Debug)]
pub struct ClientConnection {
    connections: Arc<ClientConnections>,
    shared: Arc<Shared>,
    /// Whether it may be closed in favour of others.
    is_closable: bool,
    /// Its key among those that wait, or [`NO_WAIT`].
    wait: AtomicU64,
    /// `None` once it was given back.
    memory: Option<HeldMemory>,
}

impl ClientConnection {
    /// Waits until the connection must be closed, in favour of others or for its late head. The task that
    /// serves the connection has to check this before it reads on.
    pub async fn must_close(&self) {
        loop {
            self.shared.must_close.notified().await;
            // A request that has begun meanwhile is served, and an answer that has begun is sent.
            let is_waiting = self.wait.load(Ordering::Relaxed) != NO_WAIT;
            if is_waiting && !self.shared.has_unsent.load(Ordering::Relaxed) {
                return;
            }
        }
    }

    /// Records that a whole head has arrived; `has_body`: a body follows it. The connection counts as waiting
    /// again once the guard is dropped.
    pub fn begin_request(self: &Arc<Self>, has_body: bool) -> RequestInProgress {
        let has_read_body = &self.shared.has_read_body;
        has_read_body.store(!has_body, Ordering::Relaxed);
        let mut state = self.connections.state();
        state
            .waiting
            .remove(&self.wait.swap(NO_WAIT, Ordering::Relaxed));
        *self.shared.head() = Head::NotAwaited;
        RequestInProgress(self.clone())
    }

    /// Records that the body of the request was read to its end.
    pub(crate) fn on_body_read(&self) {
        self.shared.has_read_body.store(true, Ordering::Relaxed);
    }

    /// Records that bytes have arrived.
    pub(crate) fn on_read(&self) {
        let mut head = self.shared.head();
        if let Head::Awaited = *head {
            *head = Head::BeganAt(Instant::now());
        }
    }

    /// Records whether the client has taken all that was written.
    pub(crate) fn on_write(&self, has_unsent: bool) {
        self.shared.has_unsent.store(has_unsent, Ordering::Relaxed);
    }

    fn begin_wait(&self, state: &mut State) {
        if !self.is_closable {
            return;
        }
        state.waits += 1;
        state.waiting.insert(state.waits, self.shared.clone());
        self.wait.store(state.waits, Ordering::Relaxed);
        let has_read_body = self.shared.has_read_body.load(Ordering::Relaxed);
        *self.shared.head() = if has_read_body {
            Head::Awaited
        } else {
            Head::NotAwaited
        };
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        state.waiting.remove(&self.wait.load(Ordering::Relaxed));
        state.open -= 1;
        drop(self.memory.take());
        drop(state);
        self.connections.ended.notify_waiters();
    }
}

/// A request in progress on a connection.
#[derive(Debug)]
pub struct RequestInProgress(Arc<ClientConnection>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.begin_wait(&mut connection.connections.state());
    }
}
