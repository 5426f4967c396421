//! The HTTP protocol of the database servers: an HTTP connection is a database connection, and servers report their
//! state with `POST /report`.

use bytes::Bytes;

use crate::{http::HttpResponse, position::Position, strict};

use super::client::Verb;

/// Response header: the server's log position.
pub const POSITION_HEADER: &str = "x-position";
/// Response header: `1` if the server is the primary.
pub const IS_PRIMARY_HEADER: &str = "x-leads";
/// Response header: `1` if the server is draining.
pub const DRAINING_HEADER: &str = "x-draining";
/// Response header: `no` if the server did not execute the statement.
pub const EXECUTED_HEADER: &str = "x-taken";
/// Response header: the id of the server's log. A log that is started anew gets another id.
pub const LOG_ID_HEADER: &str = "x-log";
/// Request header: the epoch in which the sender expects the server to be the primary.
pub const EPOCH_HEADER: &str = "x-line";
/// The path that resets a connection's session state and discards any open transaction.
pub const RESET_PATH: &str = "/reset";
/// The path that returns the log position.
pub const POSITION_PATH: &str = "/position";

strict! {
    /// The periodic report of a server on its own state.
    pub struct ServerReport {
        pub server: String,
        /// The zone of the server.
        pub area: String,
        /// Where the server accepts connections.
        pub addr: String,
        /// Whether it is the primary.
        pub leads: bool,
        pub draining: bool,
        /// How much its caches still lack: from 0 (warm) to 1 (cold).
        pub cold: f64,
        /// The epoch of its log position.
        pub line: u64,
        /// The index of its log position.
        pub index: u64,
        /// The id of its log.
        pub log: u64 = 0,
        /// The group it belongs to, if servers register themselves.
        pub group: String = String::new(),
        /// The sequence number of the report, by which a delayed one is recognized; 0 if reports are not numbered.
        pub turn: u64 = 0,
        /// Whether the server is shutting down.
        pub leaving: bool = false,
    }
}

/// The path to which a statement is posted.
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

/// What a server's response states besides its body.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseMetadata {
    /// The server's log position.
    pub position: Option<Position>,
    /// The id of the server's log; 0 if not stated.
    pub log_id: u64,
    pub is_primary: bool,
    pub draining: bool,
    /// The server states that it did not execute the statement.
    pub not_executed: bool,
    /// The server rejected the statement because of overload (status 429).
    pub throttled: bool,
    /// The server failed to execute the statement (status 500 or above).
    pub failed: bool,
}

/// Reads the metadata of a response from its status and headers.
pub fn response_metadata(response: &HttpResponse) -> ResponseMetadata {
    ResponseMetadata {
        position: response.header(POSITION_HEADER).and_then(|p| p.parse().ok()),
        log_id: response.header(LOG_ID_HEADER).and_then(|l| l.parse().ok()).unwrap_or(0),
        is_primary: response.header(IS_PRIMARY_HEADER) == Some("1"),
        draining: response.header(DRAINING_HEADER) == Some("1"),
        not_executed: response.header(EXECUTED_HEADER) == Some("no"),
        throttled: response.status == 429,
        failed: response.status >= 500,
    }
}

strict! {
    /// The request to the platform that promotes a server to primary.
    pub struct PromotionRequest {
        pub group: String,
        pub server: String,
        /// The epoch that begins with this promotion.
        pub line: u64,
        /// The id of the log for which it was elected; a log that was started anew since then must not become primary.
        pub log: u64 = 0,
        /// The position of that log at its election; a log that has lost it must not become primary.
        pub from: String = String::new(),
    }
}

/// The path of the platform API that promotes a server.
pub const PROMOTION_PATH: &str = "/lead";

/// The body of a [`PromotionRequest`].
pub fn promotion_body(group: &str, server: &str, epoch: u64, log_id: u64, start_position: Position) -> Bytes {
    use nanoserde::SerJson;
    PromotionRequest {
        group: group.into(),
        server: server.into(),
        line: epoch,
        log: log_id,
        from: start_position.to_string(),
    }
    .serialize_json()
    .into()
}
