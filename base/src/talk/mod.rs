//! What callers and servers say to each other in sessions, in the product's own words. A form (an outer manner of
//! speaking) translates; nothing here knows how any of it looks on a wire.

mod line;
mod request;
mod session;

pub use line::{Line, Naming, Refused, Reply, Row, ServerProtocol, Verdict};
pub use request::{Once, Repeatable, Request};
pub use session::{Answer, DatabaseSession, Fail, Host, Phase};

/// What a statement asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Opens a transaction; one that only reads may run on a follower.
    Begin {
        reads: bool,
    },
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a session value.
    Set,
    /// Prepares a name for a statement that reads or writes.
    Prepare {
        writes: bool,
    },
    /// Runs a prepared name.
    Use,
    /// Forgets a prepared name.
    Drop,
    /// Asked of a server only: forget all values and names of the session.
    Wipe,
    /// Asked of a server only: where it stands.
    Place,
    /// Asked of a server only: receive nothing more until freed, ahead of an election of this line.
    Hold {
        line: u64,
    },
    /// Asked of a server only: follow, if it leads on an earlier line.
    Yield {
        line: u64,
    },
    /// Asked of a server only: receive again.
    Free,
}

/// One statement. The text is the sender's own and goes on unread; `name` is a session value's or a prepared one's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    pub id: String,
    pub act: Act,
    pub name: String,
    pub text: String,
}

impl Statement {
    /// A statement of the product's own.
    pub fn own(act: Act) -> Self {
        Self { id: String::new(), act, name: String::new(), text: String::new() }
    }
}
