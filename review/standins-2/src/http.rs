//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the value of a query parameter; empty if there is none.
    pub fn parameter(&self, name: &str) -> &str {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value)
    }
}

/// An answer to send.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Answer {
    pub fn new(status: u16, body: String) -> Self {
        Self { status, headers: Vec::new(), body }
    }
}

/// Binds a free loopback port.
pub fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port is free")
}

/// Answers the requests of each connection in turn with `handler`.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> Answer + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            // The connection ends when the other side closes it.
            thread::spawn(move || connection(stream, &*handler));
        }
    });
}

fn connection(mut stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read(&mut stream, &mut buffer)? {
        let answer = handler(request);
        let mut text = format!(
            "HTTP/1.1 {} Status\r\ncontent-length: {}\r\n",
            answer.status,
            answer.body.len()
        );
        for (name, value) in &answer.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        text += &answer.body;
        stream.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next().unwrap_or_default().split(' ');
            let method = first.next().unwrap_or_default().to_owned();
            let target = first.next().unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers =
                headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
            let (path, query) = (path.to_owned(), query.to_owned());
            let mut request = Request { method, path, query, headers, body: Vec::new() };
            let length = request.header("content-length").parse().unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                request.body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Ok(Some(request));
            }
        }
        let mut bytes = [0; 16_384];
        match stream.read(&mut bytes)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&bytes[..count]),
        }
    }
}

/// Answer to a caller.
pub struct Received {
    /// When the request was sent.
    pub sent: Instant,
    /// Status; none without an answer.
    pub status: Option<u16>,
}

impl Received {
    /// Returns the status as written in records.
    pub fn text(&self) -> String {
        self.status.map_or("none".to_owned(), |status| status.to_string())
    }
}

/// Longest time for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Sends a GET request over a new connection and reads the answer to its end.
pub fn get(to: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Received {
    let sent = Instant::now();
    let mut head = format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let exchange = || -> io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect_timeout(&to, PATIENCE)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        stream.write_all(head.as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(answer)
    };
    let answer = exchange().unwrap_or_default();
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    Received { sent, status }
}
