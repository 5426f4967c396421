//! The callers' form: `POST /db/NAME/VERB`, the statement as the body, a session for each connection.

use std::{str::FromStr, time::Duration};

use crate::{error::ErrorKind, http::HttpRequest, position::Position};

/// Header: the attempt's id.
pub const ATTEMPT_ID_HEADER: &str = "x-send";
/// Header: what became of a write (`yes`, `no`, `unknown`).
pub const WRITE_OUTCOME_HEADER: &str = "x-kept";
/// Header: the position token that goes with the caller from node to node.
pub const TOKEN_HEADER: &str = "x-token";
/// Header: how long the caller will wait, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-due-ms";
/// Header: a name for the statement's kind.
pub const LABEL_HEADER: &str = "x-label";
/// Header of an answer: the server that gave it.
pub const SERVER_HEADER: &str = "x-server";

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
    pub fn as_str(self) -> &'static str {
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
        [Read, Write, Begin, Commit, Rollback, Set, Prepare].into_iter().find(|v| v.as_str() == word)
    }
}

/// Where a caller's own writes lie; goes with it to any node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Token {
    /// Reads must see this position.
    pub read_floor: Position,
    /// A write of unknown outcome is about: only the leader will do.
    pub outcome_unknown: bool,
}

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}{}", self.read_floor, if self.outcome_unknown { "!" } else { "" })
    }
}

impl FromStr for Token {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (text, unsure) = match text.strip_suffix('!') {
            Some(t) => (t, true),
            None => (text, false),
        };
        Ok(Self { read_floor: text.parse()?, outcome_unknown: unsure })
    }
}

impl Token {
    /// Joins what two tokens promise.
    pub fn merge(&mut self, other: Token) {
        self.read_floor = self.read_floor.max(other.read_floor);
        self.outcome_unknown |= other.outcome_unknown;
    }
}

/// A caller's request, read from its form.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    pub database: &'a str,
    pub verb: Verb,
    pub attempt_id: &'a str,
    pub label: &'a str,
    pub token: Option<Token>,
    pub timeout: Option<Duration>,
}

/// Reads a caller's request.
pub fn parse_request(ask: &HttpRequest) -> Result<ClientRequest<'_>, ErrorKind> {
    let path = ask.path.split('?').next().unwrap_or("");
    let mut parts = path.split('/').filter(|p| !p.is_empty());
    let (Some("db"), Some(name), Some(verb), None) = (parts.next(), parts.next(), parts.next(), parts.next()) else {
        return Err(ErrorKind::NoPath);
    };
    let verb = Verb::find(verb).ok_or(ErrorKind::NoPath)?;
    if ask.method != hyper::Method::POST {
        return Err(ErrorKind::Malformed);
    }
    // A header that is there twice, or is no text, is not passed over: the caller meant something by it.
    for name in [ATTEMPT_ID_HEADER, TOKEN_HEADER, TIMEOUT_HEADER, LABEL_HEADER] {
        let mut all = ask.headers.get_all(name).iter();
        if all.next().is_some_and(|v| v.to_str().is_err()) || all.next().is_some() {
            return Err(ErrorKind::Malformed);
        }
    }
    let token = match ask.header(TOKEN_HEADER) {
        Some(t) => Some(t.parse().map_err(|()| ErrorKind::Malformed)?),
        None => None,
    };
    let due = match ask.header(TIMEOUT_HEADER) {
        Some(t) => Some(Duration::from_millis(t.parse().map_err(|_| ErrorKind::Malformed)?)),
        None => None,
    };
    let send = ask.header(ATTEMPT_ID_HEADER).unwrap_or("");
    let label = ask.header(LABEL_HEADER).unwrap_or("");
    if send.len() > 128 || label.len() > 64 {
        return Err(ErrorKind::Malformed);
    }
    Ok(ClientRequest { database: name, verb, attempt_id: send, label, token, timeout: due })
}
