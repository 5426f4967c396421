use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use super::{Statement, TransactionState};
use crate::{http::CallError, position::Position, runtime::Env, runtime::LocalFuture};

/// Why a server did not run a statement: nothing of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No room for it now.
    Busy,
    /// The log lacks the position that was asked for.
    Behind,
    /// The server does not lead.
    NotPrimary,
    /// Another server or group answers there.
    WrongServer,
    /// A prepared name is not known.
    UnknownPreparedName,
}

/// How a server's answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// Done; the server's own mark of it.
    Done(String),
    Refused(RefusalReason),
    /// It was run and failed.
    Failed,
    /// It was run and took too long at the server.
    Expired,
}

/// A server's word about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicationStatus {
    pub is_primary: bool,
    /// The newest line the server knows.
    pub epoch: u64,
    /// The newest position received.
    pub position: Position,
    /// The line for whose election it receives nothing; 0 where it receives.
    pub suspended_for_epoch: u64,
    /// Milliseconds that what it applies is behind what it received.
    pub apply_lag_ms: u64,
}

/// A server's whole answer.
#[derive(Clone, Debug)]
pub struct ServerReply {
    pub rows: Vec<Bytes>,
    pub outcome: ServerOutcome,
    pub transaction: TransactionState,
    /// The position the server shows, applied.
    pub position: Option<Position>,
    /// Where a server was asked where it stands.
    pub status: Option<ReplicationStatus>,
}

/// One connection to a server, one statement at a time.
pub trait ServerConnection {
    /// Says one statement and waits for its whole answer; with `after`, a server whose log lacks it refuses. A future
    /// that is dropped leaves the connection unusable.
    fn execute<'a>(
        &'a mut self,
        said: &'a Statement,
        after: Option<Position>,
    ) -> LocalBoxFuture<'a, Result<ServerReply, CallError>>;
    /// Whether it can still carry a statement: looks whether the other side ended it.
    fn is_open(&mut self) -> bool;
}

/// The call that names a new leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Promotion {
    pub group: String,
    pub server: String,
    /// The control node that holds the duty.
    pub holder: String,
    /// Rises whenever the holder changes.
    pub fencing_token: u64,
}

/// A manner of speaking to servers and platform.
pub trait ServerProtocol {
    /// Opens a session at a server of a group. `Unsent` where nobody listens, `Unsure` where one is there and takes no
    /// session.
    fn open(
        &self,
        env: &Env,
        addr: SocketAddr,
        group: &str,
        server: &str,
    ) -> LocalFuture<Result<Box<dyn ServerConnection>, CallError>>;
    /// Tells the platform who is to lead; the answer's code.
    fn promote(
        &self,
        env: &Env,
        addr: SocketAddr,
        naming: &Promotion,
        span: Duration,
    ) -> LocalFuture<Result<u16, CallError>>;
}
