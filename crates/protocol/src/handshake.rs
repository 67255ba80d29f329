//! The handshake: greetings with version and identity, and proofs of the shared key.

use crate::codec::{FrameCodec, FrameError};
use crate::generated::{Frame, Hello, Proof, frame::Body};
use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::Framed;

/// The protocol version of this code. It is incremented with each change that older daemons can't
/// read.
pub const PROTOCOL_VERSION: u32 = 1;
/// The oldest protocol version that this code understands; there has been only one version.
pub const MIN_PROTOCOL_VERSION: u32 = 1;

/// The side of a connection that sends a proof. The proof covers the role, so that the other side
/// can't send a proof back as its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The side that connected.
    Caller,
    /// The side that was connected to.
    Listener,
}

impl Role {
    fn other(self) -> Self {
        match self {
            Self::Caller => Self::Listener,
            Self::Listener => Self::Caller,
        }
    }
}

/// Why a handshake failed.
#[derive(Debug, Display, Error, From)]
pub enum HandshakeError {
    /// A frame could not be read or written.
    #[display("{_0}")]
    #[from]
    Frame(FrameError),
    /// The connection ended during the handshake.
    #[display("the connection ended during the greeting")]
    Ended,
    /// Another frame arrived in place of the greeting or the proof.
    #[display("another frame arrived in place of the greeting or the proof")]
    Unexpected,
    /// The other side's protocol version is not supported.
    #[display("protocol version {_0} is not supported by this daemon")]
    #[from(ignore)]
    Version(#[error(not(source))] u32),
    /// The other side doesn't know the shared key.
    #[display("the other side doesn't know the shared key")]
    WrongKey,
}

fn mac(key: &[u8], role: Role, caller: &Hello, listener: &Hello) -> Hmac<Sha256> {
    // HMAC takes keys of any length.
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is accepted");
    mac.update(&[role as u8]);
    for hello in [caller, listener] {
        let bytes = hello.encode_to_vec();
        mac.update(&(bytes.len() as u32).to_be_bytes());
        mac.update(&bytes);
    }
    mac
}

/// Computes the proof of `role` over both greetings.
pub fn compute_proof(key: &[u8], role: Role, caller: &Hello, listener: &Hello) -> Bytes {
    let tag = mac(key, role, caller, listener).finalize().into_bytes();
    Bytes::copy_from_slice(&tag)
}

async fn receive<S>(frames: &mut Framed<S, FrameCodec>) -> Result<Frame, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let frame = frames.next().await.ok_or(HandshakeError::Ended)?;
    Ok(frame?)
}

/// Performs the handshake as `role` and verifies the other side; returns the other side's greeting.
///
/// # Errors
/// [`HandshakeError`]; the caller must then close the connection.
pub async fn perform_handshake<S>(
    frames: &mut Framed<S, FrameCodec>,
    role: Role,
    own: Hello,
    key: &[u8],
) -> Result<Hello, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let hello = Frame {
        body: Some(Body::Hello(own.clone())),
    };
    frames.send(hello).await?;
    let Some(Body::Hello(other)) = receive(frames).await?.body else {
        return Err(HandshakeError::Unexpected);
    };
    if other.protocol_version < MIN_PROTOCOL_VERSION {
        return Err(HandshakeError::Version(other.protocol_version));
    }
    let (caller, listener) = match role {
        Role::Caller => (&own, &other),
        Role::Listener => (&other, &own),
    };
    let proof = Proof {
        mac: compute_proof(key, role, caller, listener),
    };
    let expected = mac(key, role.other(), caller, listener);
    frames
        .send(Frame {
            body: Some(Body::Proof(proof)),
        })
        .await?;
    let Some(Body::Proof(proof)) = receive(frames).await?.body else {
        return Err(HandshakeError::Unexpected);
    };
    expected
        .verify_slice(&proof.mac)
        .map_err(|_| HandshakeError::WrongKey)?;
    Ok(other)
}
