//! The memory that clients make a process hold, as one sum.
//!
//! Owns the sum and when room was last missing. Each guard gives its bytes back when it is dropped.

use crate::body_limits::Contention;
use bridgevane_types::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// How long after somebody was refused for want of room others count as waiting for it: a client that was
/// refused comes back within this time.
const CONTENTION_TIME: Duration = Duration::from_millis(1_000);

/// The memory that clients make a process hold.
#[derive(Debug)]
pub struct ClientMemory {
    limit: Bytes,
    held_bytes: AtomicU64,
    /// The number of bodies that wait for room.
    waiting: AtomicU64,
    started: Instant,
    /// Milliseconds from `started` to the end of the contention after the last refusal.
    contended_until_ms: AtomicU64,
}

impl ClientMemory {
    /// Creates the memory of a process whose clients may make it hold this much.
    pub fn new(limit: Bytes) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held_bytes: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            started: Instant::now(),
            contended_until_ms: AtomicU64::new(0),
        })
    }

    /// Returns what is held.
    pub fn held(&self) -> Bytes {
        Bytes(self.held_bytes.load(Ordering::Relaxed))
    }

    /// Holds this much; `None` if there is no room.
    pub fn try_hold(self: &Arc<Self>, bytes: Bytes) -> Option<HeldMemory> {
        let with = |held: u64| Some(held + bytes.0).filter(|held| *held <= self.limit.0);
        let (set, get) = (Ordering::Relaxed, Ordering::Relaxed);
        self.held_bytes.fetch_update(set, get, with).ok()?;
        Some(HeldMemory {
            memory: self.clone(),
            bytes,
        })
    }

    /// Returns who needs room.
    pub(crate) fn contention(&self) -> Contention {
        let contended_until_ms = self.contended_until_ms.load(Ordering::Relaxed);
        Contention {
            has_waiting: self.waiting.load(Ordering::Relaxed) > 0,
            has_refused: self.elapsed_ms() < contended_until_ms,
        }
    }

    /// Records that somebody was refused for want of room.
    pub(crate) fn on_refusal(&self) {
        let until_ms = self.elapsed_ms() + CONTENTION_TIME.as_millis() as u64;
        self.contended_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Counts a body that waits for room until the guard is dropped.
    pub(crate) fn wait(self: &Arc<Self>) -> Waiting {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting(self.clone())
    }

    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Memory that is held until this is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: Arc<ClientMemory>,
    bytes: Bytes,
}

impl HeldMemory {
    /// Adds what another guard holds.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let held = &self.memory.held_bytes;
        held.fetch_sub(self.bytes.0, Ordering::Relaxed);
    }
}

/// A body that waits for room.
#[derive(Debug)]
pub(crate) struct Waiting(Arc<ClientMemory>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
