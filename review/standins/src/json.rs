//! A small JSON reader for the gateway's calls to the store.

use std::collections::HashMap;

/// A JSON value.
#[derive(Debug, Clone)]
pub enum Json {
    /// `null`, `true` or `false`.
    Word,
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// An object.
    Object(HashMap<String, Json>),
}

impl Json {
    /// Returns the member `key` of an object.
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Self::Object(members) => members.get(key),
            _ => None,
        }
    }

    /// Returns the text at `key`; empty if there is none.
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns the number at `key`; zero if there is none.
    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the list at `key`; empty if there is none.
    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

/// Parses a JSON text.
pub fn parse(text: &str) -> Option<Json> {
    let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
    reader.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                let mut members = HashMap::new();
                self.at += 1;
                while self.peek()? != b'}' {
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                    self.peek()?;
                    let key = self.string()?;
                    self.peek()?;
                    self.at += 1;
                    let value = self.value()?;
                    members.insert(key, value);
                }
                self.at += 1;
                Some(Json::Object(members))
            }
            b'[' => {
                let mut list = Vec::new();
                self.at += 1;
                while self.peek()? != b']' {
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                    list.push(self.value()?);
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len() && !b",]} \n".contains(&self.bytes[self.at]) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(word.parse().map_or(Json::Word, Json::Number))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    let escaped = *self.bytes.get(self.at)?;
                    text.push(if escaped == b'n' { b'\n' } else { escaped });
                }
                byte => text.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(text).ok()
    }
}
