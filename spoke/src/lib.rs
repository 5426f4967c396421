//! The data plane: callers' sessions, shared connections, reads by the standing list, writes by the leader grant.

mod execution;
mod health;
mod http_endpoint;
mod on_platform;
mod pool;
mod protocol;
mod routing;
pub mod run;
mod view;

pub use execution::Attempts;
pub use on_platform::PlatformSpoke;
pub use run::{DisabledGuards, Node, run, run_with_protocol};
