//! Secrets that never reach a log.

use std::fmt;

use subtle::ConstantTimeEq;

/// A token; `Debug` does not show it.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Wraps a token.
    pub fn new(token: impl Into<String>) -> Self {
        Self(token.into())
    }

    /// The token, for a header of an outgoing request.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `offered` is this token. The time taken depends on the lengths only.
    pub fn matches(&self, offered: &str) -> bool {
        self.0.as_bytes().ct_eq(offered.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(redacted)")
    }
}
