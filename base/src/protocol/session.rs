use std::{rc::Rc, time::Duration};

use bytes::Bytes;

use super::Statement;
use crate::{
    error::{ErrorKind, WriteOutcome},
    position::Position,
    runtime::LocalFuture,
};

/// Whether a session is in a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    #[default]
    Idle,
    Open,
    /// The transaction failed; ending it rolls back.
    Failed,
}

/// Why a statement brought nothing, and what is certain of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementError {
    pub kind: ErrorKind,
    /// `No` is a promise that nothing of the whole transaction or single statement is kept.
    pub outcome: WriteOutcome,
    /// When to come back, where that makes sense.
    pub retry_after: Option<Duration>,
}

impl StatementError {
    /// A refusal of which nothing is kept; the table says when to come back.
    pub fn not_committed(kind: ErrorKind) -> Self {
        Self {
            kind,
            outcome: WriteOutcome::NotCommitted,
            retry_after: kind.response().retry_after_s.map(|s| Duration::from_secs(s.into())),
        }
    }

    /// An end of which nothing is certain.
    pub fn outcome_unknown(kind: ErrorKind) -> Self {
        Self { outcome: WriteOutcome::Unknown, ..Self::not_committed(kind) }
    }
}

/// The answer to one statement of a caller.
#[derive(Clone, Debug)]
pub struct StatementResponse {
    pub rows: Vec<Bytes>,
    /// The server's mark, empty where this node answered by itself.
    pub result: Result<String, StatementError>,
    pub transaction: TransactionState,
    pub position: Option<Position>,
}

/// One caller's session; dropped when its connection ends.
pub trait DatabaseSession {
    /// Answers one statement.
    fn execute(&self, said: Statement) -> LocalFuture<StatementResponse>;
    /// Whether the session may be closed now without anything lost.
    fn can_close(&self) -> bool;
}

/// What a door for sessions opens them at.
pub trait SessionProvider {
    /// A session for a database.
    fn open_session(&self, name: &str) -> Result<Rc<dyn DatabaseSession>, StatementError>;
    /// Whether this node can do its work now, so that new callers should be sent here.
    fn is_ready(&self) -> bool;
}
