//! The data plane: callers' sessions, shared connections, reads by the standing list, writes by the leader grant.

mod decide;
mod door;
mod gauge;
mod ground;
mod pool;
pub mod run;
mod talk;
mod view;
mod work;

pub use ground::Ground;
pub use run::{Spoke, Tricks, run, run_in};
pub use work::Sends;
