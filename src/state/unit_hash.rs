//! Hash of two keys to a number between 0 and 1, the same at all nodes without communication.

use nanorand::{Rng, WyRand};

/// Golden ratio in 64 bits; spreads consecutive ids over all bits (Knuth's multiplicative hashing).
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Pseudo-random number above 0 and below 1 that depends on the two keys only.
pub(crate) fn unit_hash(first_key: u64, second_key: u64) -> f64 {
    let seed = first_key ^ second_key.wrapping_mul(GOLDEN_RATIO);
    let mixed = WyRand::new_seed(seed).generate::<u64>();
    ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
