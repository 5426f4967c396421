//! Sessions of clients and servers: statements and their responses, independent of any wire format. The protocols of
//! clients and servers translate between these types and their own formats.

mod request;
mod server;
mod session;

pub use request::{Once, Repeatable, Request};
pub use server::{
    Promotion, RefusalReason, ReplicationStatus, ServerConnection, ServerOutcome, ServerProtocol, ServerReply,
};
pub use session::{DatabaseSession, SessionProvider, StatementError, StatementResponse, TransactionState};

/// The kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Opens a transaction; one that only reads may run on a replica.
    Begin {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a value of the session state.
    Set,
    /// Prepares a statement under a name.
    Prepare {
        writes: bool,
    },
    /// Executes a prepared statement.
    Execute,
    /// Removes a prepared statement.
    Deallocate,
    /// Sent to servers only: discards all values and prepared statements of the session.
    ResetSession,
    /// Sent to servers only: requests the server's replication status.
    Status,
    /// Sent to servers only: suspends replication until it is resumed, before the election of this epoch.
    SuspendReplication {
        epoch: u64,
    },
    /// Sent to servers only: makes the server a replica if it is the primary of an earlier epoch.
    StepDown {
        epoch: u64,
    },
    /// Sent to servers only: resumes replication.
    ResumeReplication,
}

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The id that the client gave it; empty if there is none.
    pub id: String,
    pub kind: StatementKind,
    /// The name of the session value or of the prepared statement.
    pub name: String,
    /// The text as the client sent it; it is forwarded without being parsed.
    pub text: String,
}

impl Statement {
    /// A statement that does not come from a client.
    pub fn internal(kind: StatementKind) -> Self {
        Self { id: String::new(), kind, name: String::new(), text: String::new() }
    }
}
