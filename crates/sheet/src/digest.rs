//! Hashes of sheets and of bearer keys.

use sha2::{Digest, Sha256};

/// SHA-256 of a sheet's bytes in hexadecimal, its name in the object store.
pub fn hash(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// SHA-256 of an account's bearer key; the sheet holds this and never the key.
pub fn key_hash(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}
