//! Small words used everywhere: positions, random steps.

use std::{cell::Cell, fmt, str::FromStr};

/// A place in a server's log: the line (one per election) and the index on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    pub epoch: u64,
    pub index: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.index)
    }
}

impl FromStr for Position {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (l, i) = text.split_once('.').ok_or(())?;
        Ok(Self { epoch: l.parse().map_err(|_| ())?, index: i.parse().map_err(|_| ())? })
    }
}

impl Position {
    /// Whether a log that showed this place and now shows `now` lost something that may count. What lay behind the
    /// place `from` of the newest election is void where that election is of a later line.
    pub fn has_lost_entries(self, now: Position, line: u64, from: Position) -> bool {
        let floor = if line > self.epoch { self.min(from) } else { self };
        now < floor
    }
}

/// One step of a small seeded generator (splitmix).
pub fn next_random(seed: &Cell<u64>) -> u64 {
    let s = seed.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
    seed.set(s);
    let z = (s ^ (s >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
