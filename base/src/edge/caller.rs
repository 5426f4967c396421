//! The callers' form: `POST /db/NAME/VERB`, the statement as the body, a session for each connection.

use std::{str::FromStr, time::Duration};

use crate::{error::Kind, http::Ask, words::Position};

/// Header: the attempt's id.
pub const SEND: &str = "x-send";
/// Header: what became of a write (`yes`, `no`, `unknown`).
pub const KEPT: &str = "x-kept";
/// Header: the position token that goes with the caller from node to node.
pub const TOKEN: &str = "x-token";
/// Header: how long the caller will wait, in milliseconds.
pub const DUE: &str = "x-due-ms";
/// Header: a name for the statement's kind.
pub const LABEL: &str = "x-label";
/// Header of an answer: the server that gave it.
pub const SERVER: &str = "x-server";

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
    Set,
    Prepare,
}

impl Verb {
    /// The word in the path.
    pub fn word(self) -> &'static str {
        match self {
            Verb::Read => "read",
            Verb::Write => "write",
            Verb::Begin => "begin",
            Verb::Commit => "commit",
            Verb::Rollback => "rollback",
            Verb::Set => "set",
            Verb::Prepare => "prepare",
        }
    }

    fn find(word: &str) -> Option<Self> {
        use Verb::*;
        [Read, Write, Begin, Commit, Rollback, Set, Prepare].into_iter().find(|v| v.word() == word)
    }
}

/// Where a caller's own writes lie; goes with it to any node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Token {
    /// Reads must see this position.
    pub seen: Position,
    /// A write of unknown outcome is about: only the leader will do.
    pub unsure: bool,
}

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}{}", self.seen, if self.unsure { "!" } else { "" })
    }
}

impl FromStr for Token {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (text, unsure) = match text.strip_suffix('!') {
            Some(t) => (t, true),
            None => (text, false),
        };
        Ok(Self { seen: text.parse()?, unsure })
    }
}

impl Token {
    /// Joins what two tokens promise.
    pub fn join(&mut self, other: Token) {
        self.seen = self.seen.max(other.seen);
        self.unsure |= other.unsure;
    }
}

/// A caller's request, read from its form.
#[derive(Clone, Debug)]
pub struct Word<'a> {
    pub name: &'a str,
    pub verb: Verb,
    pub send: &'a str,
    pub label: &'a str,
    pub token: Option<Token>,
    pub due: Option<Duration>,
}

/// Reads a caller's request.
pub fn read(ask: &Ask) -> Result<Word<'_>, Kind> {
    let path = ask.path.split('?').next().unwrap_or("");
    let mut parts = path.split('/').filter(|p| !p.is_empty());
    let (Some("db"), Some(name), Some(verb), None) = (parts.next(), parts.next(), parts.next(), parts.next()) else {
        return Err(Kind::NoPath);
    };
    let verb = Verb::find(verb).ok_or(Kind::NoPath)?;
    if ask.method != hyper::Method::POST {
        return Err(Kind::Malformed);
    }
    // A header that is there twice, or is no text, is not passed over: the caller meant something by it.
    for name in [SEND, TOKEN, DUE, LABEL] {
        let mut all = ask.head.get_all(name).iter();
        if all.next().is_some_and(|v| v.to_str().is_err()) || all.next().is_some() {
            return Err(Kind::Malformed);
        }
    }
    let token = match ask.header(TOKEN) {
        Some(t) => Some(t.parse().map_err(|()| Kind::Malformed)?),
        None => None,
    };
    let due = match ask.header(DUE) {
        Some(t) => Some(Duration::from_millis(t.parse().map_err(|_| Kind::Malformed)?)),
        None => None,
    };
    let send = ask.header(SEND).unwrap_or("");
    let label = ask.header(LABEL).unwrap_or("");
    if send.len() > 128 || label.len() > 64 {
        return Err(Kind::Malformed);
    }
    Ok(Word { name, verb, send, label, token, due })
}
