//! Reproducible cases for property tests.
//!
//! Bolero's own engine draws new random inputs in each run, so two runs would not test the same
//! cases. Here, Bolero's generators read their bytes from a seeded random number generator instead,
//! and the seed of a case identifies it when a test fails.

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Seed of the first case.
const FIRST_SEED: u64 = 20_261_203;

/// Number and size of the cases of a property test.
#[derive(Debug, Clone, Copy)]
pub struct Cases {
    /// Number of cases.
    pub count: u64,
    /// Number of random bytes from which a case is generated.
    pub bytes: usize,
}

impl Default for Cases {
    fn default() -> Self {
        Self { count: 2_000, bytes: 512 }
    }
}

impl Cases {
    /// Calls `check` with the seed and the value of each case that `generator` generates.
    ///
    /// # Panics
    ///
    /// Panics unless more than half of the cases could be generated.
    pub fn check<G: ValueGenerator>(self, generator: G, mut check: impl FnMut(u64, G::Output)) {
        let options = Options::default();
        let mut generated = 0;
        let mut bytes = vec![0; self.bytes];
        for seed in FIRST_SEED..FIRST_SEED + self.count {
            ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
            let mut driver = ByteSliceDriver::new(&bytes, &options);
            if let Some(case) = generator.generate(&mut driver) {
                generated += 1;
                check(seed, case);
            }
        }
        assert!(generated > self.count / 2, "only {generated} cases could be generated");
    }
}
