//! The executor for the HTTP interface: carries out routing decisions and reports the outcome to the client.

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

/// Limit on the attempts of a statement that was certainly not executed: this many attempts of a write or a `BEGIN`,
/// and this many further attempts of a read.
const ATTEMPT_LIMIT: usize = 3;

/// Counters of requests and their outcomes since the start.
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
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// What all sessions of the node share to execute statements.
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

/// One statement outside a transaction while it is being executed.
pub struct PendingStatement<'a> {
    pub route: &'a MatchedRoute,
    pub list_key: &'a ListKey,
    pub request: &'a ClientRequest<'a>,
    pub body: &'a Bytes,
    pub deadline: Duration,
}

/// Why an attempt ended without a response.
pub enum SendFailure {
    /// The call to the server failed.
    Call(CallError),
    /// The target became unusable, or its condition invalid, before the response arrived.
    Abandoned,
}

impl ExecutionContext {
    /// Makes one attempt of a statement; stops waiting as soon as no response could be used any more.
    async fn send(
        &self,
        slot: &mut Slot,
        target: &Target,
        verb: Verb,
        headers: &[(&str, String)],
        body: Bytes,
        deadline: Duration,
    ) -> Result<HttpResponse, SendFailure> {
        let call = slot.call(backend::statement_path(verb), headers, body, deadline);
        match select(pin!(call), pin!(self.wait_until_unusable(target))).await {
            Either::Left((result, _)) => result.map_err(SendFailure::Call),
            Either::Right(_) => Err(SendFailure::Abandoned),
        }
    }

    /// Applies a session's state to a connection, and removes the state of any other session.
    async fn apply_session_state(
        &self,
        slot: &mut Slot,
        owner: &StateOwner,
        statements: &[(Verb, Bytes)],
        deadline: Duration,
    ) -> Result<(), CallError> {
        if self.router.disabled.no_session_reset {
            return Ok(());
        }
        slot.apply_session_statements(owner, statements, deadline).await
    }

    /// Completes when a response from the target can no longer be used. Most responses arrive before the first check.
    async fn wait_until_unusable(&self, target: &Target) {
        self.env.sleep(self.router.bounds.sampling_interval()).await;
        while self.router.is_valid(target) && self.router.is_usable(target) {
            self.env.sleep(self.router.bounds.sampling_interval() / 2).await;
        }
    }

    /// Records the outcome, the position and the draining state that a server's response shows.
    fn record_response(
        &self,
        key: &ListKey,
        slot: &Slot,
        response: &HttpResponse,
        requested_at: Duration,
    ) -> ResponseMetadata {
        let metadata = backend::response_metadata(response);
        let outcome = if metadata.throttled {
            Outcome::Throttled
        } else if metadata.failed {
            Outcome::Error
        } else {
            Outcome::Success
        };
        self.health.record(key, slot.server(), outcome, self.env.now() - requested_at);
        if let Some(position) = metadata.position {
            self.health.record_position(slot.server(), requested_at, position, metadata.log_id);
        }
        if response.header(backend::DRAINING_HEADER).is_some() {
            self.journal.append(Event::Draining { server: slot.server().into(), draining: metadata.draining });
        }
        metadata
    }

    /// The server's response as the client receives it, with the server's name and the session's token.
    fn client_response(&self, response: HttpResponse, server: &str, token: client::Token) -> HttpResponse {
        let mut result =
            HttpResponse::new(response.status, response.body.clone()).with_header(client::SERVER_HEADER, server);
        if let Some(content_type) = response.header("content-type") {
            result = result.with_header("content-type", content_type);
        }
        if token != client::Token::default() {
            result = result.with_header(client::TOKEN_HEADER, token);
        }
        result
    }
}
