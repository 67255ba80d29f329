//! What clients may make a process hold: one bound in bytes for their connections and the bodies of their
//! requests together, and one on the descriptors of their connections.
//!
//! | module | job |
//! |---|---|
//! | `plan` | derives the bounds from the memory and the descriptors of the process |
//! | `memory` | the sum of what is held, and whether somebody waits for room |
//! | `connections` | which connections are served, and which one is closed when there is no room |
//! | `stream` | observes what a connection reads and writes |
//! | `body_limits` | the rules for bodies that arrive |
//! | `body_memory` | the memory for bodies |
//! | `body_reader` | reads a body into memory that is reserved before |
//! | `request_body` | the body on its way to an endpoint |
//! | `guarded_body` | keeps a request in progress until its answer has ended |
//!
//! A process uses one [`ClientMemory`] for all that its clients make it hold.

pub mod body_limits;
mod body_memory;
mod body_reader;
mod connections;
mod guarded_body;
mod memory;
mod plan;
mod request_body;
mod stream;

pub use body_limits::BodyError;
pub use body_memory::{BodyMemory, Reservation};
pub use body_reader::{BodyRequest, ReadBody, read_body};
pub use connections::{ClientConnection, ClientConnections, ClientUsage, RequestInProgress};
pub use guarded_body::GuardedBody;
pub use memory::{ClientMemory, HeldMemory};
pub use plan::{ClientPlan, ClientShares, descriptor_limit};
pub use request_body::RequestBody;
pub use stream::ClientStream;
