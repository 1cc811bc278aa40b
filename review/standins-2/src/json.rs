//! JSON values, as far as the platform's messages need them.

use std::fmt::{self, Write};

/// A JSON value. Members of an object keep their order.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn object<const N: usize>(members: [(&str, Json); N]) -> Self {
        Self::Object(members.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
    }

    /// Returns a member; null if there is none.
    pub fn get(&self, key: &str) -> &Json {
        let Self::Object(members) = self else { return &Self::Null };
        members.iter().find(|(name, _)| name == key).map_or(&Self::Null, |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Self::List(list) = self { list } else { &[] }
    }

    /// Parses a value; none if the text is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<f64> for Json {
    fn from(number: f64) -> Self {
        Self::Number(number)
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(list: Vec<Json>) -> Self {
        Self::List(list)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => write_text(f, text),
            Self::List(list) => {
                f.write_char('[')?;
                for (at, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if at > 0 { "," } else { "" })?;
                }
                f.write_char(']')
            }
            Self::Object(members) => {
                f.write_char('{')?;
                for (at, (key, value)) in members.iter().enumerate() {
                    f.write_str(if at > 0 { "," } else { "" })?;
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for char in text.chars() {
        match char {
            '"' | '\\' => write!(f, "\\{char}")?,
            char if char < ' ' => write!(f, "\\u{:04x}", char as u32)?,
            char => f.write_char(char)?,
        }
    }
    f.write_char('"')
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, token: &str) -> Option<()> {
        self.skip();
        let found = self.bytes[self.at..].starts_with(token.as_bytes());
        found.then(|| self.at += token.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.take("[")?;
                let mut list = Vec::new();
                if self.take("]").is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(",").is_none() {
                        self.take("]")?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'{' => {
                self.take("{")?;
                let mut members = Vec::new();
                if self.take("}").is_some() {
                    return Some(Json::Object(members));
                }
                loop {
                    self.skip();
                    let key = self.string()?;
                    self.take(":")?;
                    members.push((key, self.value()?));
                    if self.take(",").is_none() {
                        self.take("}")?;
                        return Some(Json::Object(members));
                    }
                }
            }
            _ => {
                let rest = &self.bytes[self.at..];
                let end = rest.iter().position(|byte| !b"+-.eE0123456789".contains(byte));
                let text = std::str::from_utf8(&rest[..end.unwrap_or(rest.len())]).ok()?;
                self.at += text.len();
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    let escape = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    let char = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    text.extend_from_slice(char.encode_utf8(&mut [0; 4]).as_bytes());
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { continue };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
