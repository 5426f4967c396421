//! Types shared by all crates: runtime abstraction, errors, time bounds, settings, HTTP, and the client, server and
//! operator protocols.

pub mod boot;
pub mod bounds;
pub mod edge;
pub mod error;
pub mod http;
pub mod loop_lag;
pub mod metrics;
pub mod notify;
pub mod permits;
pub mod position;
pub mod protocol;
pub mod runtime;
pub mod settings;
pub mod strict;
pub mod supervisor;
pub mod topology;

pub use bounds::Bounds;
pub use error::ErrorKind;
pub use runtime::{Component, Env, TaskGuard};
