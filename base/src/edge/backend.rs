//! The back ends' form: one HTTP connection is one database connection; reports come by `POST /report`.

use bytes::Bytes;

use crate::{http::HttpResponse, position::Position, strict};

use super::client::Verb;

/// Header of an answer: the server's log position.
pub const POSITION_HEADER: &str = "x-position";
/// Header of an answer: `1` when the server leads.
pub const IS_PRIMARY_HEADER: &str = "x-leads";
/// Header of an answer: `1` when the server is draining.
pub const DRAINING_HEADER: &str = "x-draining";
/// Header of an answer: `no` when the server did not take the statement.
pub const EXECUTED_HEADER: &str = "x-taken";
/// Header of an answer: the identity of the server's log, a number that a log begun anew does not share.
pub const LOG_ID_HEADER: &str = "x-log";
/// Header of a request: the line on which the sender believes the server leads.
pub const EPOCH_HEADER: &str = "x-line";
/// The path that wipes a connection's session state and any open transaction.
pub const RESET_PATH: &str = "/reset";
/// The path that tells the log position.
pub const POSITION_PATH: &str = "/position";

strict! {
    /// What a server says of itself every few moments.
    pub struct ServerReport {
        pub server: String,
        pub area: String,
        pub addr: String,
        pub leads: bool,
        pub draining: bool,
        /// From 0, warm, to 1, stone cold.
        pub cold: f64,
        pub line: u64,
        pub index: u64,
        /// The identity of its log.
        pub log: u64 = 0,
        /// The group it belongs to, where servers make themselves known.
        pub group: String = String::new(),
        /// Grows with every report of this server, so that a late one is known; 0 where none is counted.
        pub turn: u64 = 0,
        /// It ends now.
        pub leaving: bool = false,
    }
}

/// The path of a statement.
pub fn statement_path(verb: Verb) -> &'static str {
    match verb {
        Verb::Read => "/read",
        Verb::Write => "/write",
        Verb::Begin => "/begin",
        Verb::Commit => "/commit",
        Verb::Rollback => "/rollback",
        Verb::Set => "/set",
        Verb::Prepare => "/prepare",
    }
}

/// What a server's answer tells beside its body.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseMetadata {
    pub position: Option<Position>,
    /// The identity of the log, 0 where none is shown.
    pub log_id: u64,
    pub is_primary: bool,
    pub draining: bool,
    /// The server shows that it did not take the statement.
    pub not_executed: bool,
    /// The server turned the statement away for load.
    pub throttled: bool,
    /// The server failed at the statement.
    pub failed: bool,
}

/// Reads an answer's signs.
pub fn response_metadata(out: &HttpResponse) -> ResponseMetadata {
    ResponseMetadata {
        position: out.header(POSITION_HEADER).and_then(|p| p.parse().ok()),
        log_id: out.header(LOG_ID_HEADER).and_then(|l| l.parse().ok()).unwrap_or(0),
        is_primary: out.header(IS_PRIMARY_HEADER) == Some("1"),
        draining: out.header(DRAINING_HEADER) == Some("1"),
        not_executed: out.header(EXECUTED_HEADER) == Some("no"),
        throttled: out.status == 429,
        failed: out.status >= 500,
    }
}

strict! {
    /// The call to the platform that names a new leader.
    pub struct PromotionRequest {
        pub group: String,
        pub server: String,
        pub line: u64,
        /// The log it is named for: one begun anew must not lead.
        pub log: u64 = 0,
        /// The place that log held when it was chosen: one that lost it must not lead.
        pub from: String = String::new(),
    }
}

/// The path on the platform that names a new leader.
pub const PROMOTION_PATH: &str = "/lead";

/// The body of the call that names a new leader.
pub fn promotion_body(group: &str, server: &str, line: u64, log: u64, from: Position) -> Bytes {
    use nanoserde::SerJson;
    PromotionRequest { group: group.into(), server: server.into(), line, log, from: from.to_string() }
        .serialize_json()
        .into()
}
