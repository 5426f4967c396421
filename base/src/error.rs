//! The closed list of errors and the table from kind to answer.

use std::fmt;

/// Every error an outer caller can be answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Kind {
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
    Conflict,
    #[error("not confirmed by control nodes")]
    Unconfirmed,
    #[error("no leader known")]
    NoLeader,
    #[error("no server can take this")]
    NoServer,
    #[error("inbox full")]
    Full,
    #[error("the due passed")]
    Due,
    #[error("area emptied")]
    Emptied,
    #[error("going down")]
    Closing,
    #[error("transaction lost")]
    Lost,
    #[error("out of order in session")]
    Order,
    #[error("outcome unknown")]
    Unknown,
    #[error("server failed")]
    Failed,
    #[error("no room on disk")]
    NoRoom,
    #[error("no such prepared name")]
    NoName,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    Yes,
    No,
    Unknown,
}

impl fmt::Display for Kept {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kept::Yes => "yes",
            Kept::No => "no",
            Kept::Unknown => "unknown",
        })
    }
}

/// How a kind is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// HTTP code.
    pub code: u16,
    /// Short name in the body.
    pub name: &'static str,
    /// Seconds for Retry-After, if coming back makes sense.
    pub retry: Option<u32>,
}

impl Kind {
    /// Every kind, in table order.
    pub const ALL: [Kind; 19] = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::NoDatabase,
        Kind::NoPath,
        Kind::Invalid,
        Kind::Conflict,
        Kind::Unconfirmed,
        Kind::NoLeader,
        Kind::NoServer,
        Kind::Full,
        Kind::Due,
        Kind::Emptied,
        Kind::Closing,
        Kind::Lost,
        Kind::Order,
        Kind::Unknown,
        Kind::Failed,
        Kind::NoRoom,
        Kind::NoName,
    ];

    /// The table from kind to answer.
    pub fn row(self) -> Row {
        let (code, name, retry) = match self {
            Kind::Malformed => (400, "malformed", None),
            Kind::TooLarge => (413, "too-large", None),
            Kind::NoDatabase => (404, "no-database", None),
            Kind::NoPath => (404, "no-path", None),
            Kind::Invalid => (422, "invalid", None),
            Kind::Conflict => (409, "conflict", None),
            Kind::Unconfirmed => (503, "unconfirmed", Some(1)),
            Kind::NoLeader => (503, "no-leader", Some(2)),
            Kind::NoServer => (503, "no-server", Some(1)),
            Kind::Full => (503, "full", Some(1)),
            Kind::Due => (503, "due", Some(1)),
            Kind::Emptied => (503, "emptied", Some(5)),
            Kind::Closing => (503, "closing", Some(1)),
            Kind::Lost => (503, "lost", Some(1)),
            Kind::Order => (409, "order", None),
            Kind::Unknown => (504, "unknown", Some(1)),
            Kind::Failed => (502, "failed", Some(1)),
            Kind::NoRoom => (507, "no-room", Some(5)),
            Kind::NoName => (404, "no-name", None),
        };
        Row { code, name, retry }
    }
}
