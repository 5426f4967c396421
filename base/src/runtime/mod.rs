//! The seams through which product code meets clock, net, disk, tasks and chance.

mod env;
mod system;
mod traits;

pub use env::{Env, TaskGuard, TimedOut};
pub use system::SystemRuntime;
pub use traits::{Disk, Listener, LocalFuture, Runtime, Stream};

/// The part of a process that writes a log line; each has a fixed prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
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

impl Component {
    /// The prefix that opens every line of this part.
    pub fn prefix(self) -> &'static str {
        match self {
            Component::Main => "main",
            Component::Tree => "tree",
            Component::Door => "door",
            Component::Pool => "pool",
            Component::Pick => "pick",
            Component::Relay => "relay",
            Component::Agree => "agree",
            Component::Elect => "elect",
            Component::Grant => "grant",
            Component::Disk => "disk",
            Component::Kit => "kit",
        }
    }
}
