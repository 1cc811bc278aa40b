//! Seeded cases for property tests, the same in every run.
//!
//! Bolero's own engine draws the inputs of each run anew, so that one run would not tell the same as
//! the next. Its generators are fed here with bytes of a seeded generator instead. A failing case is
//! named by its seed.

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Seed of the first case.
const FIRST_SEED: u64 = 20_261_203;

/// How many cases a test takes, and how much each may hold.
#[derive(Debug, Clone, Copy)]
pub struct Cases {
    /// Number of cases.
    pub count: u64,
    /// Bytes that one case is made of.
    pub bytes: usize,
}

impl Default for Cases {
    fn default() -> Self {
        Self { count: 2_000, bytes: 512 }
    }
}

impl Cases {
    /// Calls `check` with each case of `generator` and the case's seed.
    ///
    /// # Panics
    ///
    /// Panics if fewer than half of the cases could be made.
    pub fn check<G: ValueGenerator>(self, generator: G, mut check: impl FnMut(u64, G::Output)) {
        let options = Options::default();
        let mut made = 0;
        let mut bytes = vec![0; self.bytes];
        for seed in FIRST_SEED..FIRST_SEED + self.count {
            ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
            let mut driver = ByteSliceDriver::new(&bytes, &options);
            if let Some(case) = generator.generate(&mut driver) {
                made += 1;
                check(seed, case);
            }
        }
        assert!(made > self.count / 2, "only {made} cases could be made");
    }
}
