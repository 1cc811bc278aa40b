//! Seeded cases from bolero's generators.
//!
//! Bolero's own engine draws each run's inputs anew, so a run would not tell the same as the last.

use bolero::generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Seed of the first case.
const SEED: u64 = 20_261_203;
/// Cases of one test.
const CASES: u64 = 2_000;
/// Bytes that one case is made of.
const CASE_BYTES: usize = 512;

/// Calls `check` with each case and its seed.
pub(crate) fn for_each<T: TypeGenerator>(mut check: impl FnMut(u64, T)) {
    let options = Options::default();
    let mut made = 0;
    for seed in SEED..SEED + CASES {
        let mut bytes = [0; CASE_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        if let Some(case) = T::generate(&mut ByteSliceDriver::new(&bytes, &options)) {
            made += 1;
            check(seed, case);
        }
    }
    assert!(made > CASES / 2, "only {made} cases could be made");
}
