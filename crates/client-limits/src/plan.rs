//! The bounds on what clients may make a process hold, derived from what the process has.
//!
//! Inputs: the memory and the descriptors of the process, the shares that its program leaves to clients, and
//! the largest head of a request.
//!
//! Rules:
//! 1. Connections and bodies together use at most a share of the memory, bodies alone at most a smaller one,
//!    so that some connections are served whatever bodies are held.
//! 2. A connection counts with the most that it may use, from its start to its end.
//! 3. Clients get at most half of the descriptors. Each request in progress may need another one for its
//!    endpoint; the store, other daemons, readiness checks and logs need some, too.

use bridgevane_types::Bytes;
use rustix::process::{Resource, getrlimit};

/// The part of the descriptors that clients' connections may use, as a divisor.
const DESCRIPTOR_DIVISOR: usize = 2;
/// The smallest read buffer of a connection, which the HTTP library prescribes.
const MIN_READ_BUFFER: Bytes = Bytes(8 * 1024);
/// The read buffers of a connection: one that is filled, and one whose bytes wait to be taken.
const READ_BUFFERS: u64 = 2;
/// The write buffer of a connection, and the tasks of the connection and of its request.
const CONNECTION_STATE: Bytes = Bytes(16 * 1024);

/// The shares of a process's memory that its clients may use, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientShares {
    /// For connections and bodies together.
    pub all_percent: u64,
    /// For bodies alone.
    pub bodies_percent: u64,
}

/// The bounds on what clients may make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientPlan {
    /// The memory for connections and bodies together.
    pub all: Bytes,
    /// The memory for bodies.
    pub bodies: Bytes,
    /// The maximum number of connections.
    pub max_connections: usize,
}

impl ClientPlan {
    /// Derives the bounds of a process with this memory and this number of descriptors.
    pub fn new(memory: Bytes, descriptors: usize, shares: ClientShares) -> Self {
        let share = |percent: u64| Bytes(memory.0 * percent / 100);
        Self {
            all: share(shares.all_percent),
            bodies: share(shares.bodies_percent),
            max_connections: descriptors / DESCRIPTOR_DIVISOR,
        }
    }
}

/// Returns the most memory that a connection may use beside the bodies that are counted apart.
pub(crate) fn connection_memory(max_head: Bytes) -> Bytes {
    let read_buffer = max_head.max(MIN_READ_BUFFER);
    let inline_body = crate::body_limits::INLINE_BODY;
    Bytes(READ_BUFFERS * read_buffer.0 + CONNECTION_STATE.0 + inline_body.0)
}

/// Returns the maximum number of descriptors that the system grants this process.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    // No limit is as good as a very large one.
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}
