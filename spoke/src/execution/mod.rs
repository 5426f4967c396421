//! The executor: carries out what the decision object orders, and tells what became of it.

mod attempts;
mod read;
mod session;
mod transaction;
mod write;

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use base::{
    edge::{
        backend::{self, ResponseMetadata},
        client::{self, ClientRequest, Verb},
    },
    http::{CallError, HttpResponse},
    runtime::Env,
};
use bytes::Bytes;
use futures::future::{Either, select};
use pick::Outcome;

use crate::{
    health::{HealthMeasurements, ListKey},
    pool::{Slot, StateOwner},
    routing::{MatchedRoute, Router, Target},
    run::Pools,
    view::{Event, Journal},
};

pub use attempts::Attempts;
pub use session::HttpSession;

/// How often a statement that surely was not taken is sent again.
const ATTEMPT_LIMIT: usize = 3;

/// Counts of how work ended.
#[derive(Default)]
pub struct RequestCounters {
    pub reads: Cell<u64>,
    pub writes: Cell<u64>,
    pub refused: Cell<u64>,
    pub unknown: Cell<u64>,
    pub retried: Cell<u64>,
    pub sessions: Cell<u64>,
}

/// Adds one to a counter.
pub fn increment(c: &Cell<u64>) {
    c.set(c.get() + 1);
}

/// What every task that carries out work shares.
pub struct ExecutionContext {
    pub env: Env,
    pub router: Router,
    pub health: Rc<HealthMeasurements>,
    pub journal: Rc<Journal>,
    pub pools: Rc<Pools>,
    pub counters: RequestCounters,
    pub last_session_id: Cell<u64>,
    pub attempts: Attempts,
}

/// One statement outside a transaction, on its way.
pub struct PendingStatement<'a> {
    pub route: &'a MatchedRoute,
    pub list_key: &'a ListKey,
    pub request: &'a ClientRequest<'a>,
    pub body: &'a Bytes,
    pub deadline: Duration,
}

/// Why a call was given up or brought nothing.
pub enum SendFailure {
    Call(CallError),
    /// The server was lost sight of, or the grant ended, before an answer came.
    Abandoned,
}

impl ExecutionContext {
    /// Attempts one statement; gives up waiting as soon as no answer could be used any more.
    async fn send(
        &self,
        slot: &mut Slot,
        target: &Target,
        verb: Verb,
        head: &[(&str, String)],
        body: Bytes,
        due: Duration,
    ) -> Result<HttpResponse, SendFailure> {
        let call = slot.call(backend::statement_path(verb), head, body, due);
        match select(pin!(call), pin!(self.wait_until_unusable(target))).await {
            Either::Left((out, _)) => out.map_err(SendFailure::Call),
            Either::Right(_) => Err(SendFailure::Abandoned),
        }
    }

    /// Makes a connection wear a session's state, and nobody else's.
    async fn apply_session_state(
        &self,
        slot: &mut Slot,
        want: &StateOwner,
        state: &[(Verb, Bytes)],
        due: Duration,
    ) -> Result<(), CallError> {
        if self.router.disabled.no_wipe {
            return Ok(());
        }
        slot.apply_session_statements(want, state, due).await
    }

    /// Ends when an answer from the target could no longer be used. Most answers come before it first looks.
    async fn wait_until_unusable(&self, target: &Target) {
        self.env.sleep(self.router.bounds.sampling_interval()).await;
        while self.router.is_valid(target) && self.router.is_usable(target) {
            self.env.sleep(self.router.bounds.sampling_interval() / 2).await;
        }
    }

    /// Notes what a server's answer shows of the server.
    fn record_response(&self, key: &ListKey, slot: &Slot, out: &HttpResponse, asked: Duration) -> ResponseMetadata {
        let signs = backend::response_metadata(out);
        let end = if signs.throttled {
            Outcome::Throttled
        } else if signs.failed {
            Outcome::Error
        } else {
            Outcome::Good
        };
        self.health.record(key, slot.server(), end, self.env.now() - asked);
        if let Some(p) = signs.position {
            self.health.record_position(slot.server(), asked, p, signs.log_id);
        }
        if out.header(backend::DRAINING_HEADER).is_some() {
            self.journal.append(Event::Draining { server: slot.server().into(), draining: signs.draining });
        }
        signs
    }

    /// The server's own answer, with what the caller needs beside it.
    fn client_response(&self, out: HttpResponse, server: &str, token: client::Token) -> HttpResponse {
        let mut ret = HttpResponse::new(out.status, out.body.clone()).with_header(client::SERVER_HEADER, server);
        if let Some(t) = out.header("content-type") {
            ret = ret.with_header("content-type", t);
        }
        if token != client::Token::default() {
            ret = ret.with_header(client::TOKEN_HEADER, token);
        }
        ret
    }
}
