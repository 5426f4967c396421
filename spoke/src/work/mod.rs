//! The executor: carries out what the decision object orders, and tells what became of it.

mod read;
mod sends;
mod session;
mod trans;
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
    decide::{Decider, MatchedRoute, Target},
    gauge::{Gauges, Key},
    pool::{Slot, StateOwner},
    run::Pools,
    view::{Event, Journal},
};

pub use sends::Attempts;
pub use session::Caller;

/// How often a statement that surely was not taken is sent again.
const SENDS: usize = 3;

/// Counts of how work ended.
#[derive(Default)]
pub struct WorkCounts {
    pub reads: Cell<u64>,
    pub writes: Cell<u64>,
    pub refused: Cell<u64>,
    pub unknown: Cell<u64>,
    pub retried: Cell<u64>,
    pub sessions: Cell<u64>,
}

/// Adds one to a counter.
pub fn bump(c: &Cell<u64>) {
    c.set(c.get() + 1);
}

/// What every task that carries out work shares.
pub struct WorkContext {
    pub env: Env,
    pub decider: Decider,
    pub gauges: Rc<Gauges>,
    pub journal: Rc<Journal>,
    pub pools: Rc<Pools>,
    pub tally: WorkCounts,
    pub ids: Cell<u64>,
    pub sends: Attempts,
}

/// One statement outside a transaction, on its way.
pub struct Task<'a> {
    pub gate: &'a MatchedRoute,
    pub key: &'a Key,
    pub word: &'a ClientRequest<'a>,
    pub body: &'a Bytes,
    pub due: Duration,
}

/// Why a call was given up or brought nothing.
pub enum Cut {
    Fault(CallError),
    /// The server was lost sight of, or the grant ended, before an answer came.
    Given,
}

impl WorkContext {
    /// Attempts one statement; gives up waiting as soon as no answer could be used any more.
    async fn send(
        &self,
        slot: &mut Slot,
        target: &Target,
        verb: Verb,
        head: &[(&str, String)],
        body: Bytes,
        due: Duration,
    ) -> Result<HttpResponse, Cut> {
        let call = slot.call(backend::statement_path(verb), head, body, due);
        match select(pin!(call), pin!(self.lost(target))).await {
            Either::Left((out, _)) => out.map_err(Cut::Fault),
            Either::Right(_) => Err(Cut::Given),
        }
    }

    /// Makes a connection wear a session's state, and nobody else's.
    async fn dress(
        &self,
        slot: &mut Slot,
        want: &StateOwner,
        state: &[(Verb, Bytes)],
        due: Duration,
    ) -> Result<(), CallError> {
        if self.decider.disabled.no_wipe {
            return Ok(());
        }
        slot.dress(want, state, due).await
    }

    /// Ends when an answer from the target could no longer be used. Most answers come before it first looks.
    async fn lost(&self, target: &Target) {
        self.env.sleep(self.decider.bounds.sampling_interval()).await;
        while self.decider.still(target) && self.decider.open(target) {
            self.env.sleep(self.decider.bounds.sampling_interval() / 2).await;
        }
    }

    /// Notes what a server's answer shows of the server.
    fn note(&self, key: &Key, slot: &Slot, out: &HttpResponse, asked: Duration) -> ResponseMetadata {
        let signs = backend::response_metadata(out);
        let end = if signs.throttled {
            Outcome::Throttled
        } else if signs.failed {
            Outcome::Error
        } else {
            Outcome::Good
        };
        self.gauges.record(key, slot.server(), end, self.env.now() - asked);
        if let Some(p) = signs.position {
            self.gauges.placed(slot.server(), asked, p, signs.log_id);
        }
        if out.header(backend::DRAINING_HEADER).is_some() {
            self.journal.append(Event::Draining { server: slot.server().into(), draining: signs.draining });
        }
        signs
    }

    /// The server's own answer, with what the caller needs beside it.
    fn hand_on(&self, out: HttpResponse, server: &str, token: client::Token) -> HttpResponse {
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
