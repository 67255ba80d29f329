//! The bound on what is read without progress of an answer, over a pipe in memory.

use bridgevane_answer_limits::{
    AnswerBody, AnswerProgress, CountedStream, MAX_BYTES_WITHOUT_PROGRESS, READ_BUFFER_BYTES,
    is_without_end,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::JoinHandle;

/// What the pipe holds beside what the client has read.
const PIPE_BYTES: usize = 4096;

/// Writes `before`, then `repeated` at most `times`; returns how many bytes could be written.
fn serve(
    mut stream: DuplexStream,
    before: &'static str,
    repeated: &'static str,
    times: usize,
) -> JoinHandle<usize> {
    tokio::spawn(async move {
        let mut request = [0; 1024];
        let read = stream.read(&mut request).await;
        assert!(read.is_ok_and(|bytes| bytes > 0), "a request");
        let mut written = 0;
        for text in [before]
            .into_iter()
            .chain([repeated].into_iter().cycle().take(times))
        {
            if stream.write_all(text.as_bytes()).await.is_err() {
                return written;
            }
            written += text.len();
        }
        written
    })
}

/// Sends a request on `stream` and returns the head of its answer.
async fn send(stream: DuplexStream) -> hyper::Result<Response<AnswerBody>> {
    let progress = AnswerProgress::default();
    let stream = CountedStream::new(stream, progress.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let (mut sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::new(Empty::<Bytes>::new());
    let answer = sender.send_request(request).await?;
    progress.reset();
    Ok(answer.map(|body| AnswerBody::new(body, progress)))
}

/// More than the bound was read of bytes that are no answer, or the error didn't tell why.
#[tokio::test]
async fn reading_ends_at_the_bound_with_its_own_error() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (before, repeated) in [("", "HTTP/1.1 100 Continue\r\n\r\n"), (head, "0")] {
        let (client, server) = duplex(PIPE_BYTES);
        let written = serve(server, before, repeated, usize::MAX);
        let error = match send(client).await {
            Err(error) => error,
            Ok(answer) => answer.into_body().collect().await.expect_err("no body"),
        };
        assert!(is_without_end(&error), "{error:?}");
        let written = written.await.expect("the server ends");
        let bound = MAX_BYTES_WITHOUT_PROGRESS + READ_BUFFER_BYTES + PIPE_BYTES;
        assert!(written > MAX_BYTES_WITHOUT_PROGRESS, "{written}");
        assert!(written <= bound, "{written}");
    }
}

/// A long body whose parts are taken met the bound, since all that was read was added up.
#[tokio::test]
async fn parts_of_a_body_that_are_taken_are_not_added_up() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = 4 * MAX_BYTES_WITHOUT_PROGRESS;
    let (client, server) = duplex(PIPE_BYTES);
    serve(server, head, "1\r\nx\r\n", chunks);
    let mut body = send(client).await.expect("a head").into_body();
    let mut received = 0;
    while received < chunks {
        let frame = body.frame().await.expect("more").expect("a part");
        received += frame.into_data().expect("data").len();
    }
}
