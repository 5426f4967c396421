//! Connections to servers, and the promotion of a primary by the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use super::{Statement, TransactionState};
use crate::{
    http::{CallError, Client},
    position::Position,
    runtime::Env,
    runtime::LocalFuture,
};

/// Why a server did not execute a statement, which therefore had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The server has no capacity at present.
    Busy,
    /// The server's log does not yet hold the requested position.
    Behind,
    /// The server is not the primary.
    NotPrimary,
    /// The address belongs to another server or group.
    WrongServer,
    /// There is no prepared statement of this name.
    UnknownPreparedName,
}

/// The outcome of a statement at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// Executed; holds the result tag that the server gave.
    Executed(String),
    /// Not executed.
    Refused(RefusalReason),
    /// Executed and failed.
    Failed,
    /// Executed, and exceeded the time limit at the server.
    TimedOut,
}

/// The replication status that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicationStatus {
    pub is_primary: bool,
    /// The newest epoch known to the server.
    pub epoch: u64,
    /// The newest position received.
    pub position: Position,
    /// The epoch for whose election replication is suspended; 0 if it is not suspended.
    pub suspended_for_epoch: u64,
    /// How far the applied entries lag behind the received ones, in milliseconds.
    pub apply_lag_ms: u64,
}

/// A server's whole reply to a statement.
#[derive(Clone, Debug)]
pub struct ServerReply {
    pub rows: Vec<Bytes>,
    pub outcome: ServerOutcome,
    /// The state of the transaction after the statement.
    pub transaction: TransactionState,
    /// The applied log position that the server reports.
    pub position: Option<Position>,
    /// The replication status, if it was requested.
    pub status: Option<ReplicationStatus>,
}

/// One connection to a server, for one statement at a time.
pub trait ServerConnection {
    /// Executes one statement and waits for its whole reply. With `after`, a server whose log does not hold that
    /// position refuses it. The connection is unusable after the future was dropped before its end.
    fn execute<'a>(
        &'a mut self,
        statement: &'a Statement,
        after: Option<Position>,
    ) -> LocalBoxFuture<'a, Result<ServerReply, CallError>>;
    /// Whether the connection can be used for another statement; checks whether the server has closed it.
    fn is_open(&mut self) -> bool;
}

/// The promotion of a server to primary.
#[derive(Clone, Debug, PartialEq)]
pub struct Promotion {
    pub group: String,
    pub server: String,
    /// The control node that requests the promotion.
    pub holder: String,
    /// A number that rises whenever the holder changes, so that requests of an earlier holder are rejected.
    pub fencing_token: u64,
}

/// The protocol for connections to servers and for promotions at the platform.
pub trait ServerProtocol {
    /// Opens a session at a server of a group. The error is `NotSent` if no server listens at the address, and
    /// `OutcomeUnknown` if one listens but opens no session.
    fn open(
        &self,
        env: &Env,
        addr: SocketAddr,
        group: &str,
        server: &str,
    ) -> LocalFuture<Result<Box<dyn ServerConnection>, CallError>>;
    /// Requests a promotion on a connection to the platform; returns the status of the response.
    fn promote<'a>(
        &'a self,
        platform: &'a mut Client,
        promotion: &'a Promotion,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u16, CallError>>;
}
