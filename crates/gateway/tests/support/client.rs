//! A client that sends raw bytes and reads answers.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(10);

/// An answer as the client received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body was complete.
    pub is_whole: bool,
}

impl ClientAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = |line: &&str| {
            line.split_once(": ")
                .is_some_and(|(key, _)| key.eq_ignore_ascii_case(name))
        };
        let line = self.head.lines().find(line)?;
        line.split_once(": ").map(|(_, value)| value)
    }
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    /// The received bytes that haven't been parsed yet.
    unparsed: Vec<u8>,
}

/// Returns the text of a request with a valid key; `extra` are further header lines.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("content-length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: host.example\r\nx-id: {id}\r\n\
         authorization: Token key-1\r\n{extra}{length}\r\n{body}"
    )
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            unparsed: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Sends this many bytes of a body that is framed as `framing`, a header line, says.
    pub async fn send_part(&mut self, framing: &str, bytes: usize) {
        let part = "x".repeat(bytes);
        if framing.contains("chunked") {
            self.send(&format!("{bytes:x}\r\n{part}\r\n")).await;
        } else {
            self.send(&part).await;
        }
    }

    /// Ends a body that was sent in parts.
    pub async fn end_parts(&mut self, framing: &str) {
        if framing.contains("chunked") {
            self.send("0\r\n\r\n").await;
        }
    }

    /// Reads until `text` has arrived, and returns all unparsed text.
    pub async fn read_until(&mut self, text: &str) -> String {
        let reading = async {
            while !String::from_utf8_lossy(&self.unparsed).contains(text) {
                if self.read_more().await == 0 {
                    break;
                }
            }
        };
        timeout(TIMEOUT, reading).await.expect("the text arrives");
        String::from_utf8_lossy(&self.unparsed).into_owned()
    }

    async fn read_more(&mut self) -> usize {
        let mut bytes = [0; 4096];
        let count = self.stream.read(&mut bytes).await.unwrap_or(0);
        self.unparsed.extend_from_slice(&bytes[..count]);
        count
    }

    /// Returns whether the other side closes the connection within the time, without sending a byte.
    pub async fn is_closed_within(&mut self, time: Duration) -> bool {
        matches!(timeout(time, self.read_more()).await, Ok(0))
    }

    /// Reads one answer; returns `None` if the connection ends before a complete head.
    pub async fn answer(&mut self) -> Option<ClientAnswer> {
        timeout(TIMEOUT, self.read_answer())
            .await
            .expect("an answer arrives")
    }

    /// Reads the head of an answer without a body; returns `None` if the connection ends before it.
    pub async fn head(&mut self) -> Option<String> {
        timeout(TIMEOUT, self.read_head())
            .await
            .expect("a head arrives")
    }

    async fn read_head(&mut self) -> Option<String> {
        let end = loop {
            if let Some(end) = self
                .unparsed
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                break end;
            }
            if self.read_more().await == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.unparsed[..end]).into_owned();
        self.unparsed.drain(..end + 4);
        Some(head)
    }

    async fn read_answer(&mut self) -> Option<ClientAnswer> {
        let head = self.read_head().await?;
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let lower = head.to_lowercase();
        let length = lower
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let (body, is_whole) = match length {
            Some(length) => self.read_length(length.trim().parse().unwrap()).await,
            None => self.read_chunks().await,
        };
        Some(ClientAnswer {
            status,
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
            is_whole,
        })
    }

    async fn read_length(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.unparsed.len() < length {
            if self.read_more().await == 0 {
                return (std::mem::take(&mut self.unparsed), false);
            }
        }
        (self.unparsed.drain(..length).collect(), true)
    }

    async fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(line) = self.unparsed.windows(2).position(|bytes| bytes == b"\r\n") else {
                if self.read_more().await == 0 {
                    return (body, false);
                }
                continue;
            };
            let text = String::from_utf8_lossy(&self.unparsed[..line]).into_owned();
            let length = usize::from_str_radix(text.trim(), 16).unwrap();
            let whole = line + 2 + length + 2;
            while self.unparsed.len() < whole {
                if self.read_more().await == 0 {
                    return (body, false);
                }
            }
            body.extend_from_slice(&self.unparsed[line + 2..line + 2 + length]);
            self.unparsed.drain(..whole);
            if length == 0 {
                return (body, true);
            }
        }
    }
}
