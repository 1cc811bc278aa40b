//! Prefix cache with a limit in tokens, least-recently-used eviction and numbered events.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamewind_protocol::target::CacheEvent;
use tokio::time::Instant;

const MAX_EVENTS: usize = 10_000;

#[derive(Debug)]
struct CachedPrefix {
    tokens: u32,
    last_used: u64,
}

/// The prefix cache of an engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: u64,
    prefixes: HashMap<String, CachedPrefix>,
    total: u64,
    use_counter: u64,
    seq: u64,
    event_loss: f64,
    events: Vec<(Instant, CacheEvent)>,
    rng: ChaCha8Rng,
}

impl PrefixCache {
    /// Creates an empty cache for `limit` tokens that omits a share `event_loss` of its events.
    pub(crate) fn new(limit: u64, event_loss: f64, seed: u64) -> Self {
        Self {
            limit,
            prefixes: HashMap::new(),
            total: 0,
            use_counter: 0,
            seq: 0,
            event_loss,
            events: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns how many tokens of `prefix` are cached, up to `wanted`, and marks it as used.
    pub(crate) fn lookup(&mut self, prefix: &str, wanted: u32) -> u32 {
        self.use_counter += 1;
        let Some(cached) = self.prefixes.get_mut(prefix) else { return 0 };
        cached.last_used = self.use_counter;
        cached.tokens.min(wanted)
    }

    /// Caches `tokens` of `prefix`, and evicts the least recently used prefixes over the limit.
    pub(crate) fn insert(&mut self, prefix: &str, tokens: u32, now: Instant) {
        self.use_counter += 1;
        let previous = self.prefixes.get(prefix).map_or(0, |cached| cached.tokens);
        if u64::from(tokens) > self.limit || tokens <= previous {
            return;
        }
        self.prefixes
            .insert(prefix.to_owned(), CachedPrefix { tokens, last_used: self.use_counter });
        self.total += u64::from(tokens - previous);
        self.publish(prefix.to_owned(), tokens, now);
        while self.total > self.limit {
            self.evict(now);
        }
    }

    /// Removes everything without publishing events, and restarts the event numbers.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
        self.total = 0;
        self.seq = 0;
    }

    /// Returns the events after number `after` that are at least `lag` old.
    pub(crate) fn events(&self, after: u64, lag: Duration, now: Instant) -> Vec<&CacheEvent> {
        let visible = |(at, event): &&(Instant, CacheEvent)| event.seq > after && *at + lag <= now;
        self.events.iter().filter(visible).map(|(_, event)| event).collect()
    }

    fn evict(&mut self, now: Instant) {
        let oldest = self.prefixes.iter().min_by_key(|(_, cached)| cached.last_used);
        let Some(prefix) = oldest.map(|(prefix, _)| prefix.clone()) else { return };
        let tokens = self.prefixes.remove(&prefix).map_or(0, |cached| cached.tokens);
        self.total -= u64::from(tokens);
        self.publish(prefix, 0, now);
    }

    fn publish(&mut self, prefix: String, tokens: u32, now: Instant) {
        self.seq += 1;
        if self.rng.random::<f64>() < self.event_loss {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        self.events.push((now, CacheEvent { seq: self.seq, prefix, tokens }));
    }
}
