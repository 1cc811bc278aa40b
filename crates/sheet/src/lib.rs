//! The operators' sheet: read, check, revision and difference.
