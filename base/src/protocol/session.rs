//! Sessions of clients and the responses to their statements.

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
    /// Outside a transaction.
    #[default]
    Idle,
    /// Within a transaction.
    Open,
    /// The transaction has failed; its end rolls it back.
    Failed,
}

/// Why a statement failed, and whether it had an effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementError {
    pub kind: ErrorKind,
    /// `NotCommitted` guarantees that nothing of the whole transaction, or of the single statement, is committed.
    pub outcome: WriteOutcome,
    /// After which time to retry, if a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl StatementError {
    /// An error of a statement that had no effect; the delay of a retry is that of the error kind.
    pub fn not_committed(kind: ErrorKind) -> Self {
        Self {
            kind,
            outcome: WriteOutcome::NotCommitted,
            retry_after: kind.response().retry_after_s.map(|s| Duration::from_secs(s.into())),
        }
    }

    /// An error of a statement that may have had an effect.
    pub fn outcome_unknown(kind: ErrorKind) -> Self {
        Self { outcome: WriteOutcome::Unknown, ..Self::not_committed(kind) }
    }
}

/// The response to one statement of a client.
#[derive(Clone, Debug)]
pub struct StatementResponse {
    pub rows: Vec<Bytes>,
    /// The result tag of the server; empty if this node answered by itself.
    pub result: Result<String, StatementError>,
    /// The state of the transaction after the statement.
    pub transaction: TransactionState,
    /// The log position that the server reported.
    pub position: Option<Position>,
}

/// The session of one client; dropped when its connection ends.
pub trait DatabaseSession {
    /// Executes one statement.
    fn execute(&self, statement: Statement) -> LocalFuture<StatementResponse>;
    /// Whether the session can be closed at present without loss.
    fn can_close(&self) -> bool;
}

/// Opens the sessions of an endpoint.
pub trait SessionProvider {
    /// Opens a session for a database.
    fn open_session(&self, database: &str) -> Result<Rc<dyn DatabaseSession>, StatementError>;
    /// Whether this node can serve sessions at present, so that new clients should be directed to it.
    fn is_ready(&self) -> bool;
}
