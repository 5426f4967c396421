//! The seams through which product code meets clock, net, disk, tasks and chance.

mod env;
mod real;
mod world;

pub use env::{Env, Job, Late};
pub use real::Real;
pub use world::{Disk, Listener, Local, Stream, World};

/// The part of a process that writes a log line; each has a fixed prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Main,
    Tree,
    Door,
    Pool,
    Pick,
    Relay,
    Agree,
    Elect,
    Grant,
    Disk,
    Kit,
}

impl Part {
    /// The prefix that opens every line of this part.
    pub fn prefix(self) -> &'static str {
        match self {
            Part::Main => "main",
            Part::Tree => "tree",
            Part::Door => "door",
            Part::Pool => "pool",
            Part::Pick => "pick",
            Part::Relay => "relay",
            Part::Agree => "agree",
            Part::Elect => "elect",
            Part::Grant => "grant",
            Part::Disk => "disk",
            Part::Kit => "kit",
        }
    }
}
