//! The closed list of errors and the table from kind to answer.

use std::fmt;

/// Every error an outer caller can be answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ErrorKind {
    #[error("malformed request")]
    Malformed,
    #[error("body too large")]
    TooLarge,
    #[error("no such database")]
    NoDatabase,
    #[error("no such path")]
    NoPath,
    #[error("invalid configuration")]
    Invalid,
    #[error("sequence conflict")]
    VersionConflict,
    #[error("not confirmed by control nodes")]
    Unconfirmed,
    #[error("no leader known")]
    NoPrimary,
    #[error("no server can take this")]
    NoServer,
    #[error("inbox full")]
    Overloaded,
    #[error("the due passed")]
    DeadlineExceeded,
    #[error("area emptied")]
    ZoneEvacuated,
    #[error("going down")]
    ShuttingDown,
    #[error("transaction lost")]
    TransactionLost,
    #[error("out of order in session")]
    OutOfOrder,
    #[error("outcome unknown")]
    OutcomeUnknown,
    #[error("server failed")]
    ServerFailed,
    #[error("no room on disk")]
    DiskFull,
    #[error("no such prepared name")]
    UnknownPreparedName,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    Committed,
    NotCommitted,
    Unknown,
}

impl fmt::Display for WriteOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WriteOutcome::Committed => "yes",
            WriteOutcome::NotCommitted => "no",
            WriteOutcome::Unknown => "unknown",
        })
    }
}

/// How a kind is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP code.
    pub status: u16,
    /// Short name in the body.
    pub name: &'static str,
    /// Seconds for Retry-After, if coming back makes sense.
    pub retry_after_s: Option<u32>,
}

impl ErrorKind {
    /// Every kind, in table order.
    pub const ALL: [ErrorKind; 19] = [
        ErrorKind::Malformed,
        ErrorKind::TooLarge,
        ErrorKind::NoDatabase,
        ErrorKind::NoPath,
        ErrorKind::Invalid,
        ErrorKind::VersionConflict,
        ErrorKind::Unconfirmed,
        ErrorKind::NoPrimary,
        ErrorKind::NoServer,
        ErrorKind::Overloaded,
        ErrorKind::DeadlineExceeded,
        ErrorKind::ZoneEvacuated,
        ErrorKind::ShuttingDown,
        ErrorKind::TransactionLost,
        ErrorKind::OutOfOrder,
        ErrorKind::OutcomeUnknown,
        ErrorKind::ServerFailed,
        ErrorKind::DiskFull,
        ErrorKind::UnknownPreparedName,
    ];

    /// The table from kind to answer.
    pub fn response(self) -> ErrorResponse {
        let (code, name, retry) = match self {
            ErrorKind::Malformed => (400, "malformed", None),
            ErrorKind::TooLarge => (413, "too-large", None),
            ErrorKind::NoDatabase => (404, "no-database", None),
            ErrorKind::NoPath => (404, "no-path", None),
            ErrorKind::Invalid => (422, "invalid", None),
            ErrorKind::VersionConflict => (409, "conflict", None),
            ErrorKind::Unconfirmed => (503, "unconfirmed", Some(1)),
            ErrorKind::NoPrimary => (503, "no-leader", Some(2)),
            ErrorKind::NoServer => (503, "no-server", Some(1)),
            ErrorKind::Overloaded => (503, "full", Some(1)),
            ErrorKind::DeadlineExceeded => (503, "due", Some(1)),
            ErrorKind::ZoneEvacuated => (503, "emptied", Some(5)),
            ErrorKind::ShuttingDown => (503, "closing", Some(1)),
            ErrorKind::TransactionLost => (503, "lost", Some(1)),
            ErrorKind::OutOfOrder => (409, "order", None),
            ErrorKind::OutcomeUnknown => (504, "unknown", Some(1)),
            ErrorKind::ServerFailed => (502, "failed", Some(1)),
            ErrorKind::DiskFull => (507, "no-room", Some(5)),
            ErrorKind::UnknownPreparedName => (404, "no-name", None),
        };
        ErrorResponse { status: code, name, retry_after_s: retry }
    }
}
