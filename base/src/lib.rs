//! House words shared by every part: seams to the outside, errors, bounds, settings, outer HTTP forms.

pub mod bell;
pub mod boot;
pub mod bounds;
pub mod edge;
pub mod error;
pub mod http;
pub mod loop_lag;
pub mod metrics;
pub mod permits;
pub mod seam;
pub mod settings;
pub mod strict;
pub mod talk;
pub mod topology;
pub mod tree;
pub mod words;

pub use bounds::Bounds;
pub use error::Kind;
pub use seam::{Env, Job, Part};
