//! Consensus of the control nodes on one image, the replicated state: terms, votes, leases, quorums, membership.
//!
//! [`Core`] is the state machine: it processes one input at a time and returns the states to sync and the messages to
//! send, without any I/O, so that tests can explore it. [`Consensus`] executes this: it owns the disk, the links and
//! the pending requests. docs/control-state.md states the invariants and the reasons for them.

mod core;
mod election;
mod formation;
mod images;
mod links;
mod membership;
mod quorum;
mod replication;
mod service;
mod types;

pub use core::Core;
pub use quorum::{has_quorum, is_member};
pub use service::{Consensus, InputQueue};
pub use types::{
    Change, Clock, DisabledConsensusGuards, Effect, Identity, InheritedLeases, Input, Message, Outcome, PeerHello,
    RequestId, Timing,
};
