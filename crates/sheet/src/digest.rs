//! SHA-256 hashes of sheets and bearer keys.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 of a sheet in hexadecimal, which is its name in the object store.
pub fn hash(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the SHA-256 of an account's bearer key. The sheet contains this hash, never the key.
pub fn key_hash(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}
