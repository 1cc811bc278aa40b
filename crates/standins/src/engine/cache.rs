//! The prefix cache: least recently used, limited in tokens, with numbered events.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamewind_protocol::target::CacheEvent;
use tokio::time::Instant;

const KEPT_EVENTS: usize = 10_000;

#[derive(Debug)]
struct Held {
    tokens: u32,
    used: u64,
}

/// The prefix cache of an engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: u64,
    held: HashMap<String, Held>,
    total: u64,
    clock: u64,
    seq: u64,
    loss: f64,
    events: Vec<(Instant, CacheEvent)>,
    rng: ChaCha8Rng,
}

impl PrefixCache {
    /// An empty cache for `limit` tokens that hides a share `loss` of its events.
    pub(crate) fn new(limit: u64, loss: f64, seed: u64) -> Self {
        Self {
            limit,
            held: HashMap::new(),
            total: 0,
            clock: 0,
            seq: 0,
            loss,
            events: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Tokens of `prefix` that are held, up to `wanted`; counts as a use.
    pub(crate) fn lookup(&mut self, prefix: &str, wanted: u32) -> u32 {
        self.clock += 1;
        let Some(held) = self.held.get_mut(prefix) else { return 0 };
        held.used = self.clock;
        held.tokens.min(wanted)
    }

    /// Holds `tokens` of `prefix` and evicts what was not used for longest.
    pub(crate) fn insert(&mut self, prefix: &str, tokens: u32, now: Instant) {
        self.clock += 1;
        let before = self.held.get(prefix).map_or(0, |held| held.tokens);
        if u64::from(tokens) > self.limit || tokens <= before {
            return;
        }
        self.held.insert(prefix.to_owned(), Held { tokens, used: self.clock });
        self.total += u64::from(tokens - before);
        self.publish(prefix.to_owned(), tokens, now);
        while self.total > self.limit {
            self.evict(now);
        }
    }

    /// Forgets everything, without events.
    pub(crate) fn clear(&mut self) {
        self.held.clear();
        self.events.clear();
        self.total = 0;
        self.seq = 0;
    }

    /// Events after number `after` that are at least `lag` old.
    pub(crate) fn events(&self, after: u64, lag: Duration, now: Instant) -> Vec<&CacheEvent> {
        let visible = |(at, event): &&(Instant, CacheEvent)| event.seq > after && *at + lag <= now;
        self.events.iter().filter(visible).map(|(_, event)| event).collect()
    }

    fn evict(&mut self, now: Instant) {
        let oldest = self.held.iter().min_by_key(|(_, held)| held.used);
        let Some(prefix) = oldest.map(|(prefix, _)| prefix.clone()) else { return };
        let tokens = self.held.remove(&prefix).map_or(0, |held| held.tokens);
        self.total -= u64::from(tokens);
        self.publish(prefix, 0, now);
    }

    fn publish(&mut self, prefix: String, tokens: u32, now: Instant) {
        self.seq += 1;
        if self.rng.random::<f64>() < self.loss {
            return;
        }
        if self.events.len() >= KEPT_EVENTS {
            self.events.drain(..KEPT_EVENTS / 2);
        }
        self.events.push((now, CacheEvent { seq: self.seq, prefix, tokens }));
    }
}
