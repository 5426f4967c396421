//! The control plane: agreement on the operator's word, elections of leaders, grants, news.

pub mod consensus;
mod door;
mod entrance;
mod ground;
mod leadership;
pub mod leases;
pub mod operator;
mod reports;
pub mod rescue;
pub mod run;
pub mod store;

pub use ground::Ground;
pub use run::{Hub, Tricks, run, run_in};
