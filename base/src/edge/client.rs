//! The HTTP protocol of clients: `POST /db/NAME/VERB` with the statement as its body, and a session for each
//! connection.

use std::{str::FromStr, time::Duration};

use crate::{error::ErrorKind, http::HttpRequest, position::Position};

/// Header: the id of the attempt.
pub const ATTEMPT_ID_HEADER: &str = "x-send";
/// Response header: whether a write has been committed (`yes`, `no`, `unknown`).
pub const WRITE_OUTCOME_HEADER: &str = "x-kept";
/// Header: the position token, which the client passes on from node to node.
pub const TOKEN_HEADER: &str = "x-token";
/// Request header: how long the client waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-due-ms";
/// Request header: a label for the kind of statement.
pub const LABEL_HEADER: &str = "x-label";
/// Response header: the server that gave the response.
pub const SERVER_HEADER: &str = "x-server";

/// The action that a client requests.
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
    /// The verb as it stands in the path.
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

    fn parse(text: &str) -> Option<Self> {
        use Verb::*;
        [Read, Write, Begin, Commit, Rollback, Set, Prepare].into_iter().find(|v| v.as_str() == text)
    }
}

/// The log position of a client's own writes. The client passes it to any node, written as `epoch.index`, with a `!`
/// after it if the outcome of a write is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Token {
    /// Reads must see the log up to this position.
    pub read_floor: Position,
    /// The outcome of a write is unknown: only the primary may serve reads.
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
        let (position, outcome_unknown) = match text.strip_suffix('!') {
            Some(position) => (position, true),
            None => (text, false),
        };
        Ok(Self { read_floor: position.parse()?, outcome_unknown })
    }
}

impl Token {
    /// Merges the requirements of another token into this one.
    pub fn merge(&mut self, other: Token) {
        self.read_floor = self.read_floor.max(other.read_floor);
        self.outcome_unknown |= other.outcome_unknown;
    }
}

/// A parsed client request.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    pub database: &'a str,
    pub verb: Verb,
    /// The id of the attempt; empty if none was sent.
    pub attempt_id: &'a str,
    /// The label of the statement; empty if none was sent.
    pub label: &'a str,
    pub token: Option<Token>,
    /// How long the client waits.
    pub timeout: Option<Duration>,
}

/// Parses a client request. The error is `NoPath` for an unknown path, and `Malformed` for another method, for a header
/// that is invalid or repeated, and for an id or label that is too long.
pub fn parse_request(request: &HttpRequest) -> Result<ClientRequest<'_>, ErrorKind> {
    let path = request.path.split('?').next().unwrap_or("");
    let mut segments = path.split('/').filter(|p| !p.is_empty());
    let (Some("db"), Some(database), Some(verb), None) =
        (segments.next(), segments.next(), segments.next(), segments.next())
    else {
        return Err(ErrorKind::NoPath);
    };
    let verb = Verb::parse(verb).ok_or(ErrorKind::NoPath)?;
    if request.method != hyper::Method::POST {
        return Err(ErrorKind::Malformed);
    }
    // A repeated header, or one that is not text, is an error rather than ignored: the client relies on its effect.
    for name in [ATTEMPT_ID_HEADER, TOKEN_HEADER, TIMEOUT_HEADER, LABEL_HEADER] {
        let mut values = request.headers.get_all(name).iter();
        if values.next().is_some_and(|v| v.to_str().is_err()) || values.next().is_some() {
            return Err(ErrorKind::Malformed);
        }
    }
    let token = match request.header(TOKEN_HEADER) {
        Some(t) => Some(t.parse().map_err(|()| ErrorKind::Malformed)?),
        None => None,
    };
    let timeout = match request.header(TIMEOUT_HEADER) {
        Some(t) => Some(Duration::from_millis(t.parse().map_err(|_| ErrorKind::Malformed)?)),
        None => None,
    };
    let attempt_id = request.header(ATTEMPT_ID_HEADER).unwrap_or("");
    let label = request.header(LABEL_HEADER).unwrap_or("");
    if attempt_id.len() > 128 || label.len() > 64 {
        return Err(ErrorKind::Malformed);
    }
    Ok(ClientRequest { database, verb, attempt_id, label, token, timeout })
}
