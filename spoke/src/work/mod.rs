//! The executor: carries out what the decision object orders, and tells what became of it.

mod read;
mod session;
mod trans;
mod write;

use std::{cell::Cell, rc::Rc, time::Duration};

use base::{
    edge::{
        backend::{self, Signs},
        caller,
    },
    http::Return,
    seam::Env,
};
use pick::Outcome;

use crate::{
    decide::Decider,
    gauge::{Gauges, Key},
    pool::Slot,
    run::Pools,
    view::{Event, Journal},
};

pub use session::Caller;

/// How often a statement that surely was not taken is sent again.
const SENDS: usize = 3;

/// Counts of how work ended.
#[derive(Default)]
pub struct Tally {
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
pub struct Works {
    pub env: Env,
    pub decider: Decider,
    pub gauges: Rc<Gauges>,
    pub journal: Rc<Journal>,
    pub pools: Rc<Pools>,
    pub tally: Tally,
    pub ids: Cell<u64>,
}

impl Works {
    /// Notes what a server's answer shows of the server.
    fn note(&self, key: &Key, slot: &Slot, out: &Return, asked: Duration) -> Signs {
        let signs = backend::signs(out);
        let end = if signs.throttled {
            Outcome::Throttled
        } else if signs.failed {
            Outcome::Error
        } else {
            Outcome::Good
        };
        self.gauges.record(key, slot.server(), end, self.env.now() - asked);
        if let Some(p) = signs.place {
            self.gauges.placed(slot.server(), asked, p);
        }
        if out.header(backend::DRAINING).is_some() {
            self.journal.append(Event::Draining { server: slot.server().into(), draining: signs.draining });
        }
        signs
    }

    /// The server's own answer, with what the caller needs beside it.
    fn hand_on(&self, out: Return, server: &str, token: caller::Token) -> Return {
        let mut ret = Return::new(out.code, out.body.clone()).with(caller::SERVER, server);
        if let Some(t) = out.header("content-type") {
            ret = ret.with("content-type", t);
        }
        if token != caller::Token::default() {
            ret = ret.with(caller::TOKEN, token);
        }
        ret
    }
}
