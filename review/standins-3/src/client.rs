//! Clients: one attempt of a request over a new connection.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, Wire};

/// An attempt to send.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// Sends an attempt and waits for its answer until its deadline. Returns none if the connection ends or
/// the deadline passes without the head of an answer.
pub fn send(address: SocketAddr, attempt: &Attempt) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(attempt.deadline)).ok()?;
    let mut wire = Wire::new(stream);
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nConnection: close\r\n",
        attempt.method,
        attempt.path,
        attempt.host,
        attempt.id,
        attempt.deadline.as_millis()
    );
    if let Some(key) = attempt.key {
        head.push_str(&format!("Authorization: Token {key}\r\n"));
    }
    if !attempt.body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", attempt.body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(attempt.body);
    wire.stream.write_all(&bytes).ok()?;
    wire.read().ok()
}

/// A connection that a client keeps for many requests.
#[derive(Debug)]
pub struct Kept(Wire);

impl Kept {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        Some(Self(Wire::new(stream)))
    }

    /// Sends a request and waits for its answer. Returns it, and whether the connection stays open;
    /// none if the connection ends without an answer.
    pub fn send(&mut self, attempt: &Attempt) -> Option<(Message, bool)> {
        self.0.stream.set_read_timeout(Some(attempt.deadline)).ok()?;
        let key = attempt.key.unwrap_or("");
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Token {key}\r\n\
             Content-Length: {}\r\n\r\n",
            attempt.method,
            attempt.path,
            attempt.host,
            attempt.id,
            attempt.deadline.as_millis(),
            attempt.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(attempt.body);
        self.0.stream.write_all(&bytes).ok()?;
        let answer = self.0.read().ok()?;
        let closes = answer.header("connection").is_some_and(|value| value.contains("close"));
        Some((answer, !closes))
    }
}
