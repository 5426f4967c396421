//! The control plane: consensus on the configuration, elections of primaries, leases and state snapshots.

pub mod consensus;
mod forwarding;
mod http_endpoint;
mod leadership;
pub mod leases;
mod on_platform;
pub mod operator;
mod reports;
pub mod rescue;
pub mod run;
pub mod store;

pub use leadership::supervision;
pub use on_platform::PlatformControlNode;
pub use run::{ControlNode, DisabledGuards, run, run_with_protocol};
