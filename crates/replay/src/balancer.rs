//! Model of the platform's load balancer: distributes attempts over the ready instances.

use std::sync::Mutex;
use std::sync::PoisonError;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::client;
use crate::trace::Entry;

/// Distributes attempts over instances.
#[derive(Debug)]
pub struct Balancer {
    ready: Mutex<Vec<bool>>,
    offset: usize,
}

impl Balancer {
    /// Creates a balancer over `count` instances, all ready.
    pub fn new(count: usize, seed: u64) -> Self {
        let offset = ChaCha8Rng::seed_from_u64(seed).random_range(0..count.max(1));
        Self { ready: Mutex::new(vec![true; count]), offset }
    }

    /// Sets whether instance `index` takes requests.
    pub fn set_ready(&self, index: usize, ready: bool) {
        let mut flags = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        flags[index] = ready;
    }

    /// Returns the ready instances to try for `entry`, in order. Each later attempt of a request
    /// starts at the next instance.
    pub fn order(&self, entry: &Entry) -> Vec<usize> {
        let flags = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let count = flags.len();
        let position = client::request_key(entry).position("balancer");
        let first = (position * count as f64) as usize + self.offset + entry.attempt as usize;
        let all = (0..count).map(|step| (first + step) % count);
        all.filter(|index| flags[*index]).collect()
    }
}
