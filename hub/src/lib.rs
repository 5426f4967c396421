//! The control plane: agreement on the operator's word, elections of leaders, grants, news.

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

pub use on_platform::PlatformHub;
pub use run::{DisabledGuards, Hub, run, run_in};
