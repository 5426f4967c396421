//! What callers and servers say to each other in sessions, in the product's own words. A form (an outer manner of
//! speaking) translates; nothing here knows how any of it looks on a wire.

mod request;
mod server;
mod session;

pub use request::{Once, Repeatable, Request};
pub use server::{
    Promotion, RefusalReason, ReplicationStatus, ServerConnection, ServerOutcome, ServerProtocol, ServerReply,
};
pub use session::{DatabaseSession, SessionProvider, StatementError, StatementResponse, TransactionState};

/// What a statement asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
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
    Execute,
    /// Forgets a prepared name.
    Deallocate,
    /// Asked of a server only: forget all values and names of the session.
    ResetSession,
    /// Asked of a server only: where it stands.
    Status,
    /// Asked of a server only: receive nothing more until freed, ahead of an election of this line.
    SuspendReplication {
        line: u64,
    },
    /// Asked of a server only: follow, if it leads on an earlier line.
    StepDown {
        line: u64,
    },
    /// Asked of a server only: receive again.
    ResumeReplication,
}

/// One statement. The text is the sender's own and goes on unread; `name` is a session value's or a prepared one's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    pub id: String,
    pub kind: StatementKind,
    pub name: String,
    pub text: String,
}

impl Statement {
    /// A statement of the product's own.
    pub fn internal(act: StatementKind) -> Self {
        Self { id: String::new(), kind: act, name: String::new(), text: String::new() }
    }
}
