//! A member of the data centre played by a test: it is the home of some idempotency keys, and
//! acknowledges the ends of their calls late or not at all.

use super::{DATA_CENTRE, PEER_KEY};
use bridgevane_coordination::home_of;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::key_verdict::Verdict;
use bridgevane_protocol::{
    Frame, FrameCodec, Heartbeat, Hello, KeyEnded, KeyEndedHeard, KeyVerdict, PROTOCOL_VERSION,
    Role, perform_handshake,
};
use bridgevane_types::VmId;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

const VM: &str = "vm-played";
/// The interval of its heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// How it reacts when a daemon reports the end of a call.
#[derive(Clone, Copy, Debug)]
pub enum EndReaction {
    /// Records and acknowledges the end after a delay.
    AcknowledgesAfter(Duration),
    /// Ignores the end.
    Silent,
}

#[derive(Clone)]
pub struct FakeHome {
    address: SocketAddr,
    end_reaction: EndReaction,
    /// The number of ends that it has recorded.
    recorded_ends: Arc<AtomicUsize>,
}

impl FakeHome {
    /// Joins the data centre of `daemon`.
    pub async fn join(daemon: SocketAddr, end_reaction: EndReaction) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let home = Self {
            address: listener.local_addr().expect("an address"),
            end_reaction,
            recorded_ends: Arc::default(),
        };
        tokio::spawn(home.clone().accept(listener));
        tokio::spawn(home.clone().send_heartbeats(daemon));
        home
    }

    /// Returns the number of ends that it has recorded.
    pub fn recorded_ends(&self) -> usize {
        self.recorded_ends.load(Ordering::SeqCst)
    }

    /// Returns the `n`-th key of a customer and a service whose home it is, among itself and
    /// `others`.
    pub fn key(&self, service: &str, customer: &str, others: &[&str], n: usize) -> String {
        let vms: Vec<VmId> = others.iter().chain([&VM]).map(|vm| (*vm).into()).collect();
        let is_home = |key: &String| {
            let name = format!("key/{service}/{customer}/{key}");
            home_of(&name, vms.iter()) == Some(&VM.into())
        };
        let keys = (0..).map(|at| format!("key-{at}"));
        keys.filter(is_home).nth(n).expect("an endless sequence")
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            vm: VM.into(),
            data_centre: DATA_CENTRE.into(),
            incarnation: 1,
            nonce: Bytes::from_static(&[7; 16]),
            peer_address: self.address.to_string(),
        }
    }

    /// Connects to a daemon and sends heartbeats until the connection ends.
    async fn send_heartbeats(self, daemon: SocketAddr) {
        let stream = TcpStream::connect(daemon)
            .await
            .expect("the daemon listens");
        let mut frames = Framed::new(stream, FrameCodec::default());
        let greeted =
            perform_handshake(&mut frames, Role::Caller, self.hello(), PEER_KEY.as_bytes()).await;
        greeted.expect("it knows the key");
        for sequence in 1.. {
            let heartbeat = Heartbeat {
                sequence,
                ..Heartbeat::default()
            };
            let body = Some(Body::Heartbeat(heartbeat));
            if frames.send(Frame { body }).await.is_err() {
                return;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) {
        let mut frames = Framed::new(stream, FrameCodec::default());
        let hello = self.hello();
        if perform_handshake(&mut frames, Role::Listener, hello, PEER_KEY.as_bytes())
            .await
            .is_err()
        {
            return;
        }
        while let Some(Ok(frame)) = frames.next().await {
            let answer = match frame.body {
                Some(Body::Heartbeat(heartbeat)) => Some(Body::HeartbeatAck(heartbeat)),
                Some(Body::KeyClaim(claim)) => Some(Body::KeyVerdict(KeyVerdict {
                    claim: claim.claim,
                    verdict: Verdict::Run as i32,
                    ..KeyVerdict::default()
                })),
                Some(Body::KeyEnded(ended)) => self.on_call_ended(&ended).await,
                _ => None,
            };
            if let Some(body) = answer
                && frames.send(Frame { body: Some(body) }).await.is_err()
            {
                return;
            }
        }
    }

    async fn on_call_ended(&self, ended: &KeyEnded) -> Option<Body> {
        let EndReaction::AcknowledgesAfter(time) = self.end_reaction else {
            return None;
        };
        tokio::time::sleep(time).await;
        self.recorded_ends.fetch_add(1, Ordering::SeqCst);
        let heard = KeyEndedHeard { claim: ended.claim };
        Some(Body::KeyEndedHeard(heard))
    }
}
