//! The selection policy, as pure functions of the measured metrics: which servers are eligible for reads, with which
//! weights, and which of them serves a read.

mod choice;
mod eligible_set;
mod policy;
mod weight;
mod window;

pub use choice::choose;
pub use eligible_set::{Decision, EligibleSet, ServerDecision};
pub use policy::{Candidate, InvalidMetric, Metrics, Policy, Reason};
pub use weight::{Weights, adjust_weights};
pub use window::{Outcome, Window};
