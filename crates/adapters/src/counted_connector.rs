//! Opens connections whose reads are counted, for the pool of the shared HTTP client.

use bridgevane_answer_limits::{AnswerProgress, CountedStream};
use futures_util::TryFutureExt;
use futures_util::future::MapOk;
use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tower_service::Service;

/// A connection whose reads are counted.
pub(crate) type CountedConnection = TokioIo<CountedStream<TcpStream>>;

/// Opens connections whose reads are counted.
#[derive(Clone, Debug)]
pub(crate) struct CountedConnector {
    connector: HttpConnector,
}

impl CountedConnector {
    /// Opens connections by `connector`.
    pub(crate) fn new(connector: HttpConnector) -> Self {
        Self { connector }
    }
}

impl Service<Uri> for CountedConnector {
    type Response = CountedConnection;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future =
        MapOk<<HttpConnector as Service<Uri>>::Future, fn(TokioIo<TcpStream>) -> CountedConnection>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        self.connector.call(address).map_ok(counted)
    }
}

fn counted(stream: TokioIo<TcpStream>) -> CountedConnection {
    let progress = AnswerProgress::default();
    TokioIo::new(CountedStream::new(stream.into_inner(), progress))
}
