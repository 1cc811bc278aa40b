//! Faults of settings.

use std::fmt;

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Full key, such as `traffic.threads`; empty if the fault concerns the whole text.
    pub key: String,
    /// Explanation.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "{}: {}", self.key, self.message)
    }
}

/// Every fault of the settings, in the order of the keys as documented.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn new(faults: Vec<Fault>) -> Self {
        Self(faults)
    }

    pub(crate) fn one(key: &str, message: String) -> Self {
        Self(vec![Fault { key: key.to_owned(), message }])
    }

    /// The faults.
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
