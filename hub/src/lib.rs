//! The control plane: agreement on the operator's word, elections of leaders, grants, news.

pub mod consensus;
mod door;
mod duty;
mod ground;
mod ops;
pub mod rescue;
pub mod run;
pub mod store;

pub use ground::Ground;
pub use run::{Hub, Tricks, run, run_in};
