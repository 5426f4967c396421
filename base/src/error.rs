//! All error kinds that clients can receive, and the HTTP response to each.

use std::fmt;

/// Every kind of error that a client can receive. The texts are part of the response.
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

/// Whether a write has been committed; written to clients as `yes`, `no` or `unknown`.
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

/// The HTTP response to an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Error code in the body.
    pub name: &'static str,
    /// Value of the Retry-After header in seconds, if a retry makes sense.
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

    /// The response to this kind; the table in docs/errors.md lists the same values.
    pub fn response(self) -> ErrorResponse {
        let (status, name, retry_after_s) = match self {
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
        ErrorResponse { status, name, retry_after_s }
    }
}
