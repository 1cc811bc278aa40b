//! Bodies of callers' requests, which are read whole and kept until their requests have ended.
//!
//! Their memory is bounded, so that a burst of large bodies doesn't end the process. A large body is
//! read only once there is memory for all of it; until then its caller is held up by its connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::watched::RequestBody;

/// Largest size of all bodies in memory, in bytes, and as a fraction of the machine's memory. Bodies of
/// at most [`FREE_BYTES`] are not counted.
pub const MAX_TOTAL_BYTES: usize = 96 << 20;
const MACHINE_FRACTION: usize = 4;

/// Size up to which a body needs no reservation, so that large ones don't hold up small ones.
pub const FREE_BYTES: usize = 64 << 10;

/// Bytes of one permit.
const PERMIT_BYTES: usize = 1_024;

/// How long a body waits for memory. A caller whose request is not read for a second gives it up.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(800);

/// Why the body of a request was not read to its end. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds the limit.
    TooLarge,
    /// The connection failed, or the body is not framed as its head says.
    Broken,
    /// It did not arrive before the request's deadline.
    TooSlow,
    /// Other bodies use all of the memory.
    NoMemory,
}

impl BodyError {
    /// Returns the error as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "body too large",
            Self::Broken => "body broken",
            Self::TooSlow => "body too slow",
            Self::NoMemory => "no memory for body",
        }
    }
}

/// Memory that bodies of requests occupy.
#[derive(Debug)]
pub struct BodyMemory {
    free: Arc<Semaphore>,
    total: usize,
}

/// A body in memory. Dropping the last bytes made from it releases its memory.
#[derive(Debug, Default)]
struct HeldBody {
    bytes: Vec<u8>,
    permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates an unused memory of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self { free: Arc::new(Semaphore::new(permits(total) as usize)), total }
    }

    /// Creates the memory of an instance on this machine.
    pub fn of_machine() -> Self {
        let machine = machine_bytes().unwrap_or(usize::MAX);
        Self::new(MAX_TOTAL_BYTES.min(machine / MACHINE_FRACTION))
    }

    /// Reads a body of at most `limit` bytes within `wait`, however slowly its bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns why the body could not be read.
    pub async fn read(
        &self,
        body: RequestBody,
        limit: usize,
        wait: Duration,
    ) -> Result<Bytes, BodyError> {
        timeout(wait, self.collect(body, limit)).await.unwrap_or(Err(BodyError::TooSlow))
    }

    async fn collect(&self, body: RequestBody, limit: usize) -> Result<Bytes, BodyError> {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > limit {
            return Err(BodyError::TooLarge);
        }
        let mut held = HeldBody::default();
        if stated > FREE_BYTES {
            self.reserve(&mut held, stated).await?;
        }
        let mut body = Limited::new(body, limit);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| {
                if err.is::<LengthLimitError>() {
                    return BodyError::TooLarge;
                }
                log::debug!("body could not be read: {err}");
                BodyError::Broken
            })?;
            let Ok(data) = frame.into_data() else { continue };
            // A body in chunks does not state its length.
            if held.permit.is_none() && held.bytes.len() + data.len() > FREE_BYTES {
                self.reserve(&mut held, limit).await?;
            }
            held.bytes.extend_from_slice(&data);
        }
        held.shrink();
        Ok(Bytes::from_owner(held))
    }

    /// Waits until there is memory for a body of `length` bytes.
    async fn reserve(&self, held: &mut HeldBody, length: usize) -> Result<(), BodyError> {
        let count = permits(length.min(self.total));
        let permit =
            timeout(MAX_MEMORY_WAIT, Arc::clone(&self.free).acquire_many_owned(count)).await;
        // The semaphore is never closed.
        let Ok(Ok(permit)) = permit else { return Err(BodyError::NoMemory) };
        held.permit = Some(permit);
        held.bytes.reserve_exact(length - held.bytes.len());
        Ok(())
    }
}

impl HeldBody {
    /// Releases what was reserved beyond the length of the body.
    fn shrink(&mut self) {
        self.bytes.shrink_to_fit();
        let needed = permits(self.bytes.len()) as usize;
        if let Some(permit) = &mut self.permit {
            drop(permit.split(permit.num_permits().saturating_sub(needed)));
        }
    }
}

/// Returns the memory of this machine in bytes, if the operating system tells it.
fn machine_bytes() -> Option<usize> {
    let text = match std::fs::read_to_string("/proc/meminfo") {
        Ok(text) => text,
        Err(err) => {
            log::debug!("memory of the machine is not known: {err}");
            return None;
        }
    };
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kilobytes.checked_mul(1_024)
}

/// Returns the number of permits for so many bytes.
fn permits(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX)
}
