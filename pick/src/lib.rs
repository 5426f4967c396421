//! The selection policy, pure: metrics in, eligible set out; weights and read choice beside it.

mod choice;
mod policy;
mod standing;
mod weight;
mod window;

pub use choice::choose;
pub use policy::{Candidate, Fault, Metrics, Policy, Why};
pub use standing::{Decision, Standing, Verdict};
pub use weight::{Weights, tune};
pub use window::{Outcome, Window};
