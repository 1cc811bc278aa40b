//! Memory for answers that are read whole before they are passed on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

/// Largest size of all answers of one target in memory, in bytes.
pub const MAX_TARGET_BYTES: usize = 16 << 20;

/// Largest size of all answers in memory, in bytes; beyond it, each target has
/// [`FREE_TARGET_BYTES`].
pub const MAX_TOTAL_BYTES: usize = 64 << 20;

/// Size of a target's answers that is always allowed, so that answers of other targets can't keep
/// usual ones out, in bytes.
pub const FREE_TARGET_BYTES: usize = 64 << 10;

/// Smallest capacity of a buffer that is not empty, in bytes.
const MIN_CAPACITY: usize = 1_024;

/// An answer would exceed the memory for its target's answers, or for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory left for the answer")]
pub struct OutOfMemory;

/// Memory that answers occupy, until they have been passed on.
#[derive(Debug, Clone, Default)]
pub struct AnswerMemory(Arc<Mutex<Used>>);

#[derive(Debug, Default)]
struct Used {
    total: usize,
    targets: HashMap<SocketAddr, usize>,
}

impl AnswerMemory {
    /// Returns an empty buffer for an answer of the target at `address`.
    pub fn buffer(&self, address: SocketAddr) -> AnswerBuffer {
        AnswerBuffer { memory: self.clone(), address, bytes: Vec::new(), reserved: 0 }
    }

    /// Returns the size of all answers, in bytes.
    pub fn used(&self) -> usize {
        self.lock().total
    }

    fn lock(&self) -> MutexGuard<'_, Used> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reserve(&self, address: SocketAddr, bytes: usize) -> Result<(), OutOfMemory> {
        let mut used = self.lock();
        let own = used.targets.get(&address).copied().unwrap_or(0) + bytes;
        let is_full = own > FREE_TARGET_BYTES && used.total + bytes > MAX_TOTAL_BYTES;
        if own > MAX_TARGET_BYTES || is_full {
            return Err(OutOfMemory);
        }
        used.total += bytes;
        used.targets.insert(address, own);
        Ok(())
    }

    fn release(&self, address: SocketAddr, bytes: usize) {
        let mut used = self.lock();
        used.total -= bytes;
        if let Some(own) = used.targets.get_mut(&address) {
            *own -= bytes;
            if *own == 0 {
                used.targets.remove(&address);
            }
        }
    }
}

/// An answer in memory. Dropping it, or the last bytes made from it, releases its memory.
#[derive(Debug)]
pub struct AnswerBuffer {
    memory: AnswerMemory,
    address: SocketAddr,
    bytes: Vec<u8>,
    reserved: usize,
}

impl AnswerBuffer {
    /// Appends `data`.
    ///
    /// # Errors
    ///
    /// Returns [`OutOfMemory`] if there is no memory left for it.
    pub fn push(&mut self, data: &[u8]) -> Result<(), OutOfMemory> {
        let length = self.bytes.len() + data.len();
        if length > self.reserved {
            let doubled = length.max(2 * self.reserved).max(MIN_CAPACITY);
            self.grow(doubled).or_else(|_| self.grow(length))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the answer, which keeps its memory reserved.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }

    fn grow(&mut self, capacity: usize) -> Result<(), OutOfMemory> {
        self.memory.reserve(self.address, capacity - self.reserved)?;
        self.reserved = capacity;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

impl AsRef<[u8]> for AnswerBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        if self.reserved > 0 {
            self.memory.release(self.address, self.reserved);
        }
    }
}
