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
