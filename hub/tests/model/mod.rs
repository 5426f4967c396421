//! The model checker's parts. Each test program uses some of them.
#![allow(dead_code, reason = "each test program uses a part")]

pub mod dice;
pub mod monitor;
pub mod search;
pub mod walk;
pub mod world;

use hub::consensus::Guards;

/// All guards in place, as in the programs.
pub const ALL_GUARDS: Guards = Guards {
    any_incarnation: false,
    no_lease: false,
    any_bounds: false,
    early_verdict: false,
    no_joint: false,
    form_again: false,
    vote_for_older: false,
};
