//! A minimal HTTP/1.1 server and client for loopback: one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The longest body that is read.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header by its name in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    /// Returns a parameter of the query, decoded; empty if there is none.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(known, _)| *known == name);
        percent_decoded(value.map_or("", |(_, value)| value))
    }
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// An answer with a length.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Returns a header by its name in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} Answer\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        stream.write_all(head.as_bytes())?;
        stream.write_all(&self.body)
    }
}

pub type Head = (String, Vec<(String, String)>);

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

pub fn content_length(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    length.map_or(0, |(_, value)| value.parse().unwrap_or(0))
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = vec![0; content_length(headers).min(MAX_BODY_BYTES)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                // A broken connection ends its thread.
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &(impl Fn(Request) -> Answer + ?Sized),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ').map(str::to_owned);
        let request = Request {
            method: words.next().unwrap_or_default(),
            target: words.next().unwrap_or_default(),
            headers,
            body,
        };
        handle(request).write(&mut stream)?;
    }
    Ok(())
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let text = |error: io::Error| error.kind().to_string();
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(limit)).map_err(text)?;
    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).map_err(text)?;
    stream.write_all(body).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)
        .map_err(text)?
        .ok_or("closed without an answer")?;
    let body = read_body(&mut reader, &headers).map_err(text)?;
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
    Ok(Answer {
        status: status.ok_or("no status")?,
        headers,
        body,
    })
}
