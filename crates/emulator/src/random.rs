//! RandomStream in streams of its own for each part, so that one more draw in one part shifts no other.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

pub struct RandomStream {
    rng: SmallRng,
}

/// Mixes the parts of a name into a seed.
pub fn seed(of: u64, part: u64, number: u64) -> u64 {
    let mut mixed =
        of ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl RandomStream {
    pub fn new(of: u64, part: u64, number: u64) -> Self {
        RandomStream { rng: SmallRng::seed_from_u64(seed(of, part, number)) }
    }

    /// From 0 to below 1.
    pub fn share(&mut self) -> f64 {
        self.rng.random()
    }

    pub fn below(&mut self, count: usize) -> usize {
        if count == 0 {
            0
        } else {
            self.rng.random_range(0..count)
        }
    }

    pub fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.share() < share
    }

    pub fn number(&mut self) -> u64 {
        self.rng.random()
    }

    /// Time to the next of events that come at a rate, in ms; a day where they never come.
    pub fn gap_ms(&mut self, per_s: f64) -> f64 {
        const DAY_MS: f64 = 86_400_000.0;
        match Exp::new(per_s / 1e3) {
            Ok(gaps) if per_s > 0.0 => gaps.sample(&mut self.rng).min(DAY_MS),
            _ => DAY_MS,
        }
    }
}
