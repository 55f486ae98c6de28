//! Independent random streams for each part of the simulation, so that an additional draw in one part does
//! not change the others.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

pub struct RandomStream {
    rng: SmallRng,
}

/// Derives the seed of a stream from a base seed, the part of the simulation and a number within it.
pub fn mix_seed(base: u64, part: u64, number: u64) -> u64 {
    let mut mixed =
        base ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl RandomStream {
    pub fn new(base: u64, part: u64, number: u64) -> Self {
        RandomStream { rng: SmallRng::seed_from_u64(mix_seed(base, part, number)) }
    }

    /// Uniform in `0.0..1.0`.
    pub fn uniform(&mut self) -> f64 {
        self.rng.random()
    }

    /// Uniform in `0..count`; 0 if `count` is 0.
    pub fn below(&mut self, count: usize) -> usize {
        if count == 0 {
            0
        } else {
            self.rng.random_range(0..count)
        }
    }

    /// True with this probability. Does not draw if it is 0.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.uniform() < probability
    }

    pub fn next_u64(&mut self) -> u64 {
        self.rng.random()
    }

    /// Exponentially distributed time in ms to the next event at this rate; a day if the rate is 0.
    pub fn gap_ms(&mut self, per_s: f64) -> f64 {
        const DAY_MS: f64 = 86_400_000.0;
        match Exp::new(per_s / 1e3) {
            Ok(gaps) if per_s > 0.0 => gaps.sample(&mut self.rng).min(DAY_MS),
            _ => DAY_MS,
        }
    }
}
