//! Numbers that follow from a seed.

/// A stream of numbers that follows from a seed.
#[derive(Clone)]
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        // Steele, Lea, Flood: SplitMix64.
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, top: usize) -> usize {
        (self.next() % top.max(1) as u64) as usize
    }

    pub fn chance(&mut self, of: usize) -> bool {
        self.below(of) == 0
    }
}
