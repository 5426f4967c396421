//! The data plane: client sessions, pooled connections to the servers, reads from the eligible set, and writes to the
//! primary under a lease.

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
pub use on_platform::PlatformNode;
pub use run::{DisabledGuards, Node, run, run_with_protocol};
