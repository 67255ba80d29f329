//! Messages and framing between bridgevane processes.
//!
//! Frames are length-delimited (`tokio-util`) and hold one [`Frame`] (`prost`) each. Both
//! sides greet with version and nonce and prove a shared key over both greetings; a stranger
//! is refused before any other frame is read.

mod codec;
mod fingerprint;
mod greeting;

/// Generated message code; written by `bridgevane-protogen`.
#[allow(missing_docs, clippy::all)]
mod generated {
    include!("generated/bridgevane.peer.v1.rs");
}

pub use codec::{FrameCodec, FrameError, MAX_FRAME_BYTES};
pub use generated::*;
pub use greeting::{GreetingError, MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, Role, greet, prove};
