//! A member of the data centre that a test plays: it is the home of some idempotency keys, and hears of
//! the ends of their calls when the test lets it.

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
/// How often it says that it lives.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// What it does when a daemon tells it how a call ended.
#[derive(Clone, Copy, Debug)]
pub enum OnEnd {
    /// It takes the news in after a while, and says so.
    HearsAfter(Duration),
    /// Nothing.
    Silent,
}

#[derive(Clone)]
pub struct FakeHome {
    address: SocketAddr,
    on_end: OnEnd,
    /// Ends that it has taken in.
    heard: Arc<AtomicUsize>,
}

impl FakeHome {
    /// Joins the data centre of `daemon`.
    pub async fn join(daemon: SocketAddr, on_end: OnEnd) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let home = Self {
            address: listener.local_addr().expect("an address"),
            on_end,
            heard: Arc::default(),
        };
        tokio::spawn(home.clone().accept(listener));
        tokio::spawn(home.clone().live(daemon));
        home
    }

    pub fn heard(&self) -> usize {
        self.heard.load(Ordering::SeqCst)
    }

    /// The n-th key of a customer and a service whose home it is, beside `others`.
    pub fn key(&self, service: &str, customer: &str, others: &[&str], n: usize) -> String {
        let vms: Vec<VmId> = others.iter().chain([&VM]).map(|vm| (*vm).into()).collect();
        let is_home = |key: &String| {
            let name = format!("key/{service}/{customer}/{key}");
            home_of(&name, vms.iter()) == Some(&VM.into())
        };
        let keys = (0..).map(|at| format!("key-{at}"));
        keys.filter(is_home).nth(n).expect("there are many")
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

    /// Says again and again that it lives.
    async fn live(self, daemon: SocketAddr) {
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
            tokio::time::sleep(HEARTBEAT).await;
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
                Some(Body::KeyEnded(ended)) => self.on_ended(&ended).await,
                _ => None,
            };
            if let Some(body) = answer
                && frames.send(Frame { body: Some(body) }).await.is_err()
            {
                return;
            }
        }
    }

    async fn on_ended(&self, ended: &KeyEnded) -> Option<Body> {
        let OnEnd::HearsAfter(time) = self.on_end else {
            return None;
        };
        tokio::time::sleep(time).await;
        self.heard.fetch_add(1, Ordering::SeqCst);
        let heard = KeyEndedHeard { claim: ended.claim };
        Some(Body::KeyEndedHeard(heard))
    }
}
