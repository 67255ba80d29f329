//! A client that sends bytes and reads one answer.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(10);

/// An answer as the client got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Got {
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = |line: &&str| {
            line.split_once(": ")
                .is_some_and(|(key, _)| key.eq_ignore_ascii_case(name))
        };
        let line = self.head.lines().find(line)?;
        line.split_once(": ").map(|(_, value)| value)
    }
}

pub struct Client {
    stream: TcpStream,
    rest: Vec<u8>,
}

/// A request with a key, of an identifier.
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
            rest: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until `text` has come.
    pub async fn read_until(&mut self, text: &str) -> String {
        let reading = async {
            while !String::from_utf8_lossy(&self.rest).contains(text) {
                if self.read_more().await == 0 {
                    break;
                }
            }
        };
        timeout(LIMIT, reading).await.expect("the text comes");
        String::from_utf8_lossy(&self.rest).into_owned()
    }

    async fn read_more(&mut self) -> usize {
        let mut bytes = [0; 4096];
        let count = self.stream.read(&mut bytes).await.unwrap_or(0);
        self.rest.extend_from_slice(&bytes[..count]);
        count
    }

    /// Whether the other side closes the connection within the time, without a byte.
    pub async fn is_closed_within(&mut self, time: Duration) -> bool {
        matches!(timeout(time, self.read_more()).await, Ok(0))
    }

    /// Reads one answer; none when the connection ends before a head.
    pub async fn answer(&mut self) -> Option<Got> {
        timeout(LIMIT, self.read_answer())
            .await
            .expect("an answer comes")
    }

    async fn read_answer(&mut self) -> Option<Got> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if self.read_more().await == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let lower = head.to_lowercase();
        let length = lower
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let (body, is_whole) = match length {
            Some(length) => self.read_length(length.trim().parse().unwrap()).await,
            None => self.read_chunks().await,
        };
        Some(Got {
            status,
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
            is_whole,
        })
    }

    async fn read_length(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.rest.len() < length {
            if self.read_more().await == 0 {
                return (std::mem::take(&mut self.rest), false);
            }
        }
        (self.rest.drain(..length).collect(), true)
    }

    async fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(line) = self.rest.windows(2).position(|bytes| bytes == b"\r\n") else {
                if self.read_more().await == 0 {
                    return (body, false);
                }
                continue;
            };
            let text = String::from_utf8_lossy(&self.rest[..line]).into_owned();
            let length = usize::from_str_radix(text.trim(), 16).unwrap();
            let whole = line + 2 + length + 2;
            while self.rest.len() < whole {
                if self.read_more().await == 0 {
                    return (body, false);
                }
            }
            body.extend_from_slice(&self.rest[line + 2..line + 2 + length]);
            self.rest.drain(..whole);
            if length == 0 {
                return (body, true);
            }
        }
    }
}
