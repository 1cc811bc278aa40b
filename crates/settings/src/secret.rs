//! Secrets that are kept out of logs.

use std::fmt;

use subtle::ConstantTimeEq;

/// A token whose `Debug` output is redacted.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Wraps a token.
    pub fn new(token: impl Into<String>) -> Self {
        Self(token.into())
    }

    /// Returns the token, to be sent in a header of a request.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether `offered` equals this token.
    ///
    /// The comparison takes time that depends only on the lengths, not on the contents.
    pub fn matches(&self, offered: &str) -> bool {
        self.0.as_bytes().ct_eq(offered.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(redacted)")
    }
}
