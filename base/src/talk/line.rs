use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use super::{Phase, Statement};
use crate::{http::Fault, seam::Env, seam::Local, words::Position};

/// Why a server did not run a statement: nothing of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No room for it now.
    Busy,
    /// The log lacks the position that was asked for.
    Behind,
    /// The server does not lead.
    Follows,
    /// Another server or group answers there.
    Other,
    /// A prepared name is not known.
    Nameless,
}

/// How a server's answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Done; the server's own mark of it.
    Done(String),
    Refused(Refused),
    /// It was run and failed.
    Failed,
    /// It was run and took too long at the server.
    Expired,
}

/// A server's word about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Row {
    pub leads: bool,
    /// The newest line the server knows.
    pub line: u64,
    /// The newest position received.
    pub place: Position,
    /// The line for whose election it receives nothing; 0 where it receives.
    pub held: u64,
    /// Milliseconds that what it applies is behind what it received.
    pub lag: u64,
}

/// A server's whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    pub rows: Vec<Bytes>,
    pub verdict: Verdict,
    pub phase: Phase,
    /// The position the server shows, applied.
    pub place: Option<Position>,
    /// Where a server was asked where it stands.
    pub row: Option<Row>,
}

/// One connection to a server, one statement at a time.
pub trait Line {
    /// Says one statement and waits for its whole answer; with `after`, a server whose log lacks it refuses. A future
    /// that is dropped leaves the connection unusable.
    fn say<'a>(&'a mut self, said: &'a Statement, after: Option<Position>) -> LocalBoxFuture<'a, Result<Reply, Fault>>;
    /// Whether it can still carry a statement: looks whether the other side ended it.
    fn open(&mut self) -> bool;
}

/// The call that names a new leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Naming {
    pub group: String,
    pub server: String,
    /// The control node that holds the duty.
    pub holder: String,
    /// Rises whenever the holder changes.
    pub fence: u64,
}

/// A manner of speaking to servers and platform.
pub trait ServerProtocol {
    /// Opens a session at a server of a group. `Unsent` where nobody listens, `Unsure` where one is there and takes no
    /// session.
    fn open(&self, env: &Env, addr: SocketAddr, group: &str, server: &str) -> Local<Result<Box<dyn Line>, Fault>>;
    /// Tells the platform who is to lead; the answer's code.
    fn name(&self, env: &Env, addr: SocketAddr, naming: &Naming, span: Duration) -> Local<Result<u16, Fault>>;
}
