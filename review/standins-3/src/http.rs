//! Reading and writing of HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was read to its end as the head states it.
    pub complete: bool,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the n-th word of the first line.
    pub fn word(&self, nth: usize) -> &str {
        self.line.split(' ').nth(nth).unwrap_or("")
    }

    /// Returns the status of an answer; zero if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A socket with the bytes that were read beyond the last message.
#[derive(Debug)]
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16_384];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a whole message. An answer whose connection ends early is returned incomplete.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let result = self.read_body(&mut message);
        message.complete = result.is_ok();
        Ok(message)
    }

    fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                self.take(size, &mut message.body)?;
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.header("content-length").and_then(|value| value.parse().ok());
        self.take(length.unwrap_or(0), &mut message.body)
    }

    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let mut left = count;
        loop {
            let some = left.min(self.buffer.len());
            body.extend(self.buffer.drain(..some));
            left -= some;
            if left == 0 {
                return Ok(());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes an answer with a length.
    pub fn answer(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
