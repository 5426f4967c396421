//! Log positions, and the random number generator of the runtimes.

use std::{cell::Cell, fmt, str::FromStr};

/// A position in a server's log, written as `epoch.index`. Positions are ordered by epoch, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Rises with each election of a primary.
    pub epoch: u64,
    /// The index of the entry within the log.
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
        let (epoch, index) = text.split_once('.').ok_or(())?;
        Ok(Self { epoch: epoch.parse().map_err(|_| ())?, index: index.parse().map_err(|_| ())? })
    }
}

impl Position {
    /// Whether a log that reported `self` before and `now` at present has lost entries that may have been acknowledged.
    /// `election_epoch` and `election_start` are the epoch of the newest election and the position that it started
    /// from. If that election is of a later epoch than `self`, entries after its start position were discarded and are
    /// no loss.
    pub fn has_lost_entries(self, now: Position, election_epoch: u64, election_start: Position) -> bool {
        let required = if election_epoch > self.epoch { self.min(election_start) } else { self };
        now < required
    }
}

/// The next number of the SplitMix64 generator with the state `seed`.
pub fn next_random(seed: &Cell<u64>) -> u64 {
    let state = seed.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
    seed.set(state);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
