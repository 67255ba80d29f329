//! The memory that clients make a process hold, as one sum.
//!
//! Owns the sum. Each guard gives its bytes back when it is dropped.

use bridgevane_types::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The memory that clients make a process hold.
#[derive(Debug)]
pub struct ClientMemory {
    limit: Bytes,
    held_bytes: AtomicU64,
    /// The number of bodies that wait for room.
    waiting: AtomicU64,
}

impl ClientMemory {
    /// Creates the memory of a process whose clients may make it hold this much.
    pub fn new(limit: Bytes) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held_bytes: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
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

    /// Returns whether somebody waits for room.
    pub(crate) fn has_waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    /// Counts a body that waits for room until the guard is dropped.
    pub(crate) fn wait(self: &Arc<Self>) -> Waiting {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting(self.clone())
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
