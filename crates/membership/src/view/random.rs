//! The random number generator of a view.

/// Creates a random number generator. Consecutive seeds would give it similar first numbers, and hosts with such seeds
/// would all ping the same member at the same time. The bits of the seed are therefore mixed first.
pub(super) fn generator(seed: u64) -> oorandom::Rand64 {
    let (high, low) = (mix_bits(seed), mix_bits(!seed));
    oorandom::Rand64::new(u128::from(high) << 64 | u128::from(low))
}

/// Mixes the bits of a seed by one step of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix_bits(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
