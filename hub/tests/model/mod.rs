//! A model checker for the consensus core. Each test program uses some of its parts.
#![allow(dead_code, reason = "each test program uses a part")]

pub mod cluster;
pub mod monitor;
pub mod rng;
pub mod search;
pub mod walk;

use hub::consensus::DisabledConsensusGuards;

/// All guards enabled, as in the programs.
pub const ALL_GUARDS: DisabledConsensusGuards = DisabledConsensusGuards {
    any_incarnation: false,
    no_lease: false,
    any_bounds: false,
    early_result: false,
    no_joint: false,
    form_again: false,
    vote_for_older: false,
};
