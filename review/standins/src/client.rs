//! Stand-in for clients.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;

/// A request.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Its id.
    pub id: &'a str,
    /// Method and path.
    pub target: &'a str,
    /// Key of the tenant.
    pub key: &'a str,
    /// How long the client waits.
    pub deadline: Duration,
    /// Further header lines, each with its line end.
    pub headers: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub enum Answer {
    /// A complete answer.
    Whole(Message),
    /// The connection ended, or nothing came in time; holds what was received of the body.
    Broken(String, Vec<u8>),
}

impl Answer {
    /// Returns the status of a complete answer, and zero otherwise.
    pub fn status(&self) -> u16 {
        match self {
            Self::Whole(message) => message.status(),
            Self::Broken(..) => 0,
        }
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn send(address: SocketAddr, request: &Request<'_>, record: &Record) -> Answer {
    KeptConnection::default().send(address, request, record)
}

/// Like [`send`], with a pause after each part of the body of this size.
pub fn send_slowly(
    address: SocketAddr,
    request: &Request<'_>,
    record: &Record,
    pace: (usize, Duration),
) -> Answer {
    KeptConnection { pace: Some(pace), ..KeptConnection::default() }.send(address, request, record)
}

/// A connection that is used for many requests.
#[derive(Debug, Default)]
pub struct KeptConnection {
    reader: Option<BufReader<TcpStream>>,
    pace: Option<(usize, Duration)>,
}

impl KeptConnection {
    /// Returns whether the next request uses an open connection.
    pub fn is_kept(&self) -> bool {
        self.reader.is_some()
    }

    /// Sends a request, on a new connection if none is open, and reads its answer.
    pub fn send(&mut self, address: SocketAddr, request: &Request<'_>, record: &Record) -> Answer {
        let answer = match self.exchange(address, request, record) {
            Ok(answer) => answer,
            Err(err) => Answer::Broken(err.to_string(), Vec::new()),
        };
        let closes = match &answer {
            Answer::Whole(message) => message.header("connection") == Some("close"),
            Answer::Broken(..) => true,
        };
        if closes {
            self.reader = None;
        }
        let text = match &answer {
            Answer::Whole(message) => {
                let is_sealed = message.header("response-seal").is_some();
                let seal = if is_sealed { "sealed" } else { "no seal" };
                format!("{} is answered {}, {seal}, whole", request.id, message.status())
            }
            Answer::Broken(cause, body) => {
                format!("{} has no complete answer: {cause}; {} bytes came", request.id, body.len())
            }
        };
        record.line(&text);
        answer
    }

    fn exchange(
        &mut self,
        address: SocketAddr,
        request: &Request<'_>,
        record: &Record,
    ) -> io::Result<Answer> {
        let mut reader = match self.reader.take() {
            Some(reader) => reader,
            None => BufReader::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?),
        };
        let stream = reader.get_mut();
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(request.deadline))?;
        let Request { id, target, key, deadline, headers, body } = request;
        let head = format!(
            "{target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
             Authorization: Token {key}\r\nContent-Length: {}\r\n{headers}\r\n",
            deadline.as_millis(),
            body.len()
        );
        record.line(&format!("{id} is sent: {target}, {} bytes", body.len()));
        stream.write_all(head.as_bytes())?;
        let (part, pause) = self.pace.unwrap_or((body.len().max(1), Duration::ZERO));
        for bytes in body.chunks(part) {
            stream.write_all(bytes)?;
            std::thread::sleep(pause);
        }
        let Some(mut message) = http::read_head(&mut reader)? else {
            return Ok(Answer::Broken("closed before the answer".to_owned(), Vec::new()));
        };
        Ok(match http::read_body(&mut reader, &mut message, |_| {}) {
            Ok(()) => {
                self.reader = Some(reader);
                Answer::Whole(message)
            }
            Err(err) => Answer::Broken(err.to_string(), message.body),
        })
    }
}
