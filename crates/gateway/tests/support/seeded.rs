//! Seeded random numbers.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A source of random numbers that a seed determines.
pub struct Seeded(Pcg64Mcg);

impl Seeded {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }
}
