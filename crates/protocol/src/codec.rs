//! The codec of frames: each length-delimited block holds one [`Frame`].

use crate::generated::Frame;
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec, LengthDelimitedCodecError};

/// The size limit of a frame. The largest frame holds a whole configuration, which has at most 1 MB,
/// and at most twice that as a frame of sections.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Why a frame can't be read or written.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[display("the frame is longer than {MAX_FRAME_BYTES} bytes")]
    TooLong,
    /// The connection ended inside a frame.
    #[display("the connection ended inside a frame")]
    Truncated,
    /// The frame can't be decoded as a message of this protocol.
    #[display("the frame can't be decoded")]
    Malformed,
    /// The connection failed.
    #[display("the connection failed: {_0}")]
    #[from]
    Connection(std::io::Error),
}

/// Decodes and encodes frames.
#[derive(Debug)]
pub struct FrameCodec {
    blocks: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let blocks = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { blocks }
    }
}

fn block_error(error: std::io::Error) -> FrameError {
    let inner = error.get_ref();
    if inner.is_some_and(|inner| inner.is::<LengthDelimitedCodecError>()) {
        return FrameError::TooLong;
    }
    FrameError::Connection(error)
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(block) = self.blocks.decode(bytes).map_err(block_error)? else {
            return Ok(None);
        };
        let frame = Frame::decode(block).map_err(|_| FrameError::Malformed)?;
        // A body of a later protocol version isn't an error; the frame then has no body here.
        Ok(Some(frame))
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if let Some(frame) = self.decode(bytes)? {
            return Ok(Some(frame));
        }
        if bytes.is_empty() {
            return Ok(None);
        }
        Err(FrameError::Truncated)
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, bytes: &mut BytesMut) -> Result<(), FrameError> {
        let block = Bytes::from(frame.encode_to_vec());
        self.blocks.encode(block, bytes).map_err(block_error)
    }
}
