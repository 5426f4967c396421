//! The data plane: callers' sessions, shared connections, reads by the standing list, writes by the leader grant.

mod decide;
mod door;
mod gauge;
mod on_platform;
mod pool;
pub mod run;
mod talk;
mod view;
mod work;

pub use on_platform::PlatformSpoke;
pub use run::{DisabledGuards, Spoke, run, run_in};
pub use work::Attempts;
