//! A pseudorandom number generator with a seed, so that runs can be repeated.

/// The SplitMix64 generator.
#[derive(Clone)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        // SplitMix64 by Steele, Lea and Flood.
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// An index below `top`; 0 if `top` is 0.
    pub fn index_below(&mut self, top: usize) -> usize {
        (self.next() % top.max(1) as u64) as usize
    }

    /// `true` with a probability of one in `of`.
    pub fn one_in(&mut self, of: usize) -> bool {
        self.index_below(of) == 0
    }
}
