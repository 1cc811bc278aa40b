//! Kept connection of a caller, on which the bytes of requests are written as the caller chooses.

use std::io;
use std::net::SocketAddr;

use http::{HeaderMap, HeaderName, HeaderValue, header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An answer; the body is none if the answer was cut off.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Option<String>,
}

impl Answer {
    /// Returns whether no further request is read on the connection.
    pub fn closes(&self) -> bool {
        let value = self.headers.get(header::CONNECTION);
        value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were received and not yet read as an answer.
    received: Vec<u8>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, received: Vec::new() })
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the next answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the answer's head is complete.
    pub async fn read(&mut self) -> io::Result<Answer> {
        let head = self.take_through(b"\r\n\r\n").await?;
        let (status, headers) = parse_head(&head)
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "malformed head"))?;
        let body = self.read_body(&headers).await.ok();
        Ok(Answer { status, headers, body })
    }

    /// Waits until the other side closes the connection.
    pub async fn closed(&mut self) {
        while self.receive().await.is_ok() {}
    }

    async fn read_body(&mut self, headers: &HeaderMap) -> io::Result<String> {
        let body = if headers.contains_key(header::TRANSFER_ENCODING) {
            self.read_chunks().await?
        } else {
            let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
            let length = length.and_then(|text| text.parse().ok()).ok_or_else(invalid)?;
            self.take(length).await?
        };
        String::from_utf8(body).map_err(|_| invalid())
    }

    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_through(b"\r\n").await?;
            let size = std::str::from_utf8(&line).map_err(|_| invalid())?;
            let size = usize::from_str_radix(size.trim_end(), 16).map_err(|_| invalid())?;
            let chunk = self.take(size + 2).await?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    async fn take_through(&mut self, end: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.received.windows(end.len()).position(|bytes| bytes == end);
            if let Some(at) = found {
                return Ok(self.received.drain(..at + end.len()).collect());
            }
            self.receive().await?;
        }
    }

    async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.received.len() < length {
            self.receive().await?;
        }
        Ok(self.received.drain(..length).collect())
    }

    async fn receive(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.received).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

fn parse_head(head: &[u8]) -> Option<(u16, HeaderMap)> {
    let mut lines = std::str::from_utf8(head).ok()?.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut headers = HeaderMap::new();
    for line in lines.take_while(|line| !line.is_empty()) {
        let (name, value) = line.split_once(':')?;
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value.trim()).ok()?);
    }
    Some((status, headers))
}
