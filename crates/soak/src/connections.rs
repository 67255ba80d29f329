//! Connections to a daemon that are used again until its process closes them.

use crate::callers::{Body, open_connection};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Connections to a daemon that stay open until its process closes them. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Body>>>>,
}

impl Connections {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().expect("no panic under this lock");
        idle.retain(SendRequest::is_ready);
        idle.pop()
    }

    /// Sends a request; returns the status of the answer, `None` without a whole one.
    pub(crate) async fn ask(&self, request: Request<Body>) -> Option<u16> {
        let (sender, answer) = self.send(request).await?;
        let status = answer.status().as_u16();
        answer.into_body().collect().await.ok()?;
        self.give_back(sender);
        Some(status)
    }

    /// Sends a request; returns the connection, which is busy until the body has ended, and the head of
    /// the answer.
    pub(crate) async fn send(
        &self,
        request: Request<Body>,
    ) -> Option<(SendRequest<Body>, Response<Incoming>)> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => open_connection(self.address).await?,
        };
        let answer = sender.send_request(request).await.ok()?;
        Some((sender, answer))
    }

    /// Keeps a connection whose answer has ended for later requests.
    pub(crate) fn give_back(&self, sender: SendRequest<Body>) {
        let mut idle = self.idle.lock().expect("no panic under this lock");
        idle.push(sender);
    }
}
