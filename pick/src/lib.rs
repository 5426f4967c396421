//! The selection policy, pure: metrics in, eligible set out; weights and read choice beside it.

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
