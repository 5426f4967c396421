use std::{rc::Rc, time::Duration};

use bytes::Bytes;

use super::Statement;
use crate::{
    error::{Kept, Kind},
    seam::Local,
    words::Position,
};

/// Whether a session is in a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Idle,
    Open,
    /// The transaction failed; ending it rolls back.
    Failed,
}

/// Why a statement brought nothing, and what is certain of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fail {
    pub kind: Kind,
    /// `No` is a promise that nothing of the whole transaction or single statement is kept.
    pub kept: Kept,
    /// When to come back, where that makes sense.
    pub back: Option<Duration>,
}

impl Fail {
    /// A refusal of which nothing is kept; the table says when to come back.
    pub fn no(kind: Kind) -> Self {
        Self { kind, kept: Kept::No, back: kind.row().retry.map(|s| Duration::from_secs(s.into())) }
    }

    /// An end of which nothing is certain.
    pub fn unsure(kind: Kind) -> Self {
        Self { kept: Kept::Unknown, ..Self::no(kind) }
    }
}

/// The answer to one statement of a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    pub rows: Vec<Bytes>,
    /// The server's mark, empty where this node answered by itself.
    pub end: Result<String, Fail>,
    pub phase: Phase,
    pub place: Option<Position>,
}

/// One caller's session; dropped when its connection ends.
pub trait DatabaseSession {
    /// Answers one statement.
    fn say(&self, said: Statement) -> Local<Answer>;
    /// Whether the session may be closed now without anything lost.
    fn free(&self) -> bool;
}

/// What a door for sessions opens them at.
pub trait Host {
    /// A session for a database.
    fn open_session(&self, name: &str) -> Result<Rc<dyn DatabaseSession>, Fail>;
    /// Whether this node can do its work now, so that new callers should be sent here.
    fn ready(&self) -> bool;
}
