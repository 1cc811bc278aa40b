//! Faults found in the settings.

use std::fmt;

/// A fault found in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Full key, such as `traffic.threads`; empty if the fault concerns the whole file or the
    /// environment.
    pub key: String,
    /// Explanation for the operator.
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

/// All faults found in the settings, in the order in which they were found.
///
/// `Display` writes one line for each fault.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn new(faults: Vec<Fault>) -> Self {
        Self(faults)
    }

    pub(crate) fn single(key: &str, message: String) -> Self {
        Self(vec![Fault { key: key.to_owned(), message }])
    }

    /// Returns the faults.
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
