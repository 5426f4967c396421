//! The runtime abstraction: clock, network, disk, tasks and randomness, so that the same code runs on a machine and in
//! the simulator.

mod env;
mod system;
mod traits;

pub use env::{Env, TaskGuard, TimedOut};
pub use system::SystemRuntime;
pub use traits::{Disk, Listener, LocalFuture, Runtime, Stream};

/// The component that writes a log line; each has a fixed prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    Main,
    Supervisor,
    Endpoint,
    Pool,
    Selection,
    Relay,
    Consensus,
    Election,
    Lease,
    Disk,
    Tools,
}

impl Component {
    /// The prefix of each log line of this component.
    pub fn prefix(self) -> &'static str {
        match self {
            Component::Main => "main",
            Component::Supervisor => "tree",
            Component::Endpoint => "door",
            Component::Pool => "pool",
            Component::Selection => "pick",
            Component::Relay => "relay",
            Component::Consensus => "agree",
            Component::Election => "elect",
            Component::Lease => "grant",
            Component::Disk => "disk",
            Component::Tools => "kit",
        }
    }
}
