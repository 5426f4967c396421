//! Consensus of the control nodes on one image: terms, votes, leases, quorums, membership.
//!
//! [`Core`] decides: it takes inputs one at a time and gives back what is to be synced and what is to be sent, without
//! any I/O, so that tests can explore it. [`Consensus`] obeys: it owns the disk, the links and the waiting callers.
//! docs/control-state.md argues what holds and why.

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
pub use service::{Consensus, Queue};
pub use types::{
    Change, Clock, Effect, Guards, Identity, InheritedLeases, Input, Message, Outcome, PeerHello, Ticket, Timing,
};
