//! Answers of another daemon that don't end.

mod support;

use bridgevane_gateway::SourceError;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{Frame, FrameCodec, RecordsAnswer};
use bytes::BytesMut;
use futures_util::StreamExt;
use std::time::Duration;
use support::source::ScriptedSource;
use support::{peer_settings, start_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Encoder, Framed};

/// Until when the connection must be closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);
/// What may be written until then, with the buffers of two sockets.
const MAX_FLOOD_BYTES: usize = 8 << 20;
/// What a flood writes at most, so that a test that fails doesn't fill the memory.
const MAX_WRITTEN_BYTES: usize = 12 << 20;

/// Answers the first poll with `repeated` over and over; returns how much could be written until the
/// connection was closed, or `None` if the connection carried no poll.
async fn serve(stream: TcpStream, repeated: Frame) -> Option<usize> {
    let mut frames = Framed::new(stream, FrameCodec::default());
    loop {
        let frame = frames.next().await?.ok()?;
        if matches!(frame.body, Some(Body::RecordsWanted(_))) {
            break;
        }
    }
    let mut step = BytesMut::new();
    while step.len() < 8_192 {
        let encoded = FrameCodec::default().encode(repeated.clone(), &mut step);
        encoded.expect("it has a frame's size");
    }
    let mut stream = frames.into_inner();
    let mut written = 0;
    while written < MAX_WRITTEN_BYTES && stream.write_all(&step).await.is_ok() {
        written += step.len();
    }
    // Until the connection is closed.
    while stream.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {}
    Some(written)
}

/// An answer may have many parts: those that hold no record were kept without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_of_empty_parts_without_end_is_given_up() {
    let part = RecordsAnswer {
        has_more: true,
        ..RecordsAnswer::default()
    };
    let frame = Frame {
        body: Some(Body::RecordsAnswer(part)),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer = listener.local_addr().expect("it listens");
    let (sender, mut floods) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (sender, frame) = (sender.clone(), frame.clone());
            tokio::spawn(async move {
                if let Some(written) = serve(stream, frame).await {
                    // The test may have ended.
                    let _ = sender.send(written);
                }
            });
        }
    });
    let source = ScriptedSource::new();
    source.set_fault(Some(SourceError::NoAnswer));
    let own = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let own = own.local_addr().expect("it listens");
    // It never gets ready.
    tokio::spawn(start_with(source, peer_settings("vm-2", own, &[peer])));
    let written = timeout(CLOSE_LIMIT, floods.recv()).await;
    let written = written.expect("the connection is closed").expect("a poll");
    assert!(written < MAX_FLOOD_BYTES, "{written} bytes were taken");
}
