use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use base::{
    ErrorKind,
    edge::{
        self, backend,
        client::{self, Token, Verb},
        operator::Consistency,
    },
    error::WriteOutcome,
    http::{HttpRequest, HttpResponse, RequestHandler},
    runtime::{LocalFuture, TaskGuard},
};
use bytes::Bytes;
use futures::channel::oneshot;

use super::{Task, WorkContext, bump};
use crate::{
    decide::{MatchedRoute, Target},
    pool::{Slot, StateOwner},
};

/// How many session statements one session may have for one database.
pub const STATES: usize = 64;
/// How many bytes they may have together, over all databases.
const STATE_BYTES: usize = 1 << 20;

/// An open transaction.
pub struct Trans {
    pub slot: Slot,
    pub target: Target,
    pub name: String,
    /// Ends the transaction when it sits idle too long.
    pub idle: Option<TaskGuard>,
}

/// What a transaction that was ended for the caller leaves behind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended(pub ErrorKind);

/// What a session owns.
#[derive(Default)]
pub struct Store {
    pub id: u64,
    pub token: Token,
    pub states: BTreeMap<String, Vec<(Verb, Bytes)>>,
    pub trans: Option<Trans>,
    pub ended: Option<Ended>,
    pub gone: bool,
    /// A request is being worked on.
    pub busy: bool,
}

impl Store {
    /// Whether the session may set another value or name for a database.
    pub fn room(&self, name: &str, more: usize) -> bool {
        let bytes: usize = self.states.values().flatten().map(|s| s.1.len()).sum();
        self.states.get(name).map_or(0, Vec::len) < STATES && bytes + more <= STATE_BYTES
    }
}

/// One caller's connection: its session.
pub struct Caller {
    works: Rc<WorkContext>,
    store: Rc<RefCell<Store>>,
}

impl Caller {
    /// A session with no state.
    pub fn new(works: &Rc<WorkContext>) -> Self {
        works.ids.set(works.ids.get() + 1);
        bump(&works.tally.sessions);
        let store = Store { id: works.ids.get(), ..Store::default() };
        Self { works: works.clone(), store: Rc::new(RefCell::new(store)) }
    }
}

impl RequestHandler for Caller {
    fn handle(&self, ask: HttpRequest) -> LocalFuture<HttpResponse> {
        let (works, store) = (self.works.clone(), self.store.clone());
        Box::pin(async move {
            let (done, wait) = oneshot::channel();
            // In a task of its own: a caller who leaves must not leave a server half-way through a statement.
            let env = works.env.clone();
            store.borrow_mut().busy = true;
            env.spawn(async move {
                let out = works.serve(&store, &ask).await;
                store.borrow_mut().busy = false;
                let _ = done.send(out);
                works.part(&store);
            })
            .detach();
            wait.await
                .unwrap_or_else(|_| edge::error_response(ErrorKind::ServerFailed, "", Some(WriteOutcome::Unknown)))
        })
    }

    fn can_close(&self) -> bool {
        let s = self.store.borrow();
        s.trans.is_none() && !s.busy
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.store.borrow_mut().gone = true;
        self.works.part(&self.store);
    }
}

impl WorkContext {
    /// Rolls back what a caller who left had open.
    fn part(self: &Rc<Self>, store: &Rc<RefCell<Store>>) {
        if !store.borrow().gone {
            return;
        }
        if let Some(t) = store.borrow_mut().trans.take() {
            if self.decider.disabled.no_rollback {
                return;
            }
            let me = self.clone();
            self.env.spawn(async move { me.roll_back(t).await }).detach();
        }
    }

    /// Rolls back at the server; a connection that doesn't show it did is closed.
    pub async fn roll_back(&self, mut t: Trans) {
        let due = self.env.now() + self.decider.bounds.call_timeout();
        let out = t.slot.call(backend::statement_path(Verb::Rollback), &[], Bytes::new(), due).await;
        if !matches!(&out, Ok(o) if o.status < 300) {
            t.slot.spoil();
        }
    }

    /// Answers one request of a session.
    async fn serve(self: &Rc<Self>, store: &Rc<RefCell<Store>>, ask: &HttpRequest) -> HttpResponse {
        let own = format!("{}-{}-{}", self.decider.name, store.borrow().id, self.env.rand());
        let named = ask.header(client::ATTEMPT_ID_HEADER).is_some_and(|s| !s.is_empty());
        let word = match client::parse_request(ask) {
            // Each send has an id; one that its caller did not name gets one here.
            Ok(w) if w.attempt_id.is_empty() => client::ClientRequest { attempt_id: &own, ..w },
            Ok(w) => w,
            Err(k) => return edge::error_response(k, "", Some(WriteOutcome::NotCommitted)),
        };
        if let Some(t) = word.token {
            store.borrow_mut().token.merge(t);
        }
        let (most, _) = self.decider.limit();
        let due = self.env.now() + word.timeout.unwrap_or(most).min(most);
        let open = store.borrow().trans.is_some();
        if open {
            return self.within(store, &word, &ask.body, due).await;
        }
        let ended = store.borrow_mut().ended.take();
        if let Some(Ended(kind)) = ended
            && !matches!(word.verb, Verb::Begin | Verb::Rollback)
        {
            return edge::error_response(
                kind,
                "the transaction was ended and nothing of it kept",
                Some(WriteOutcome::NotCommitted),
            );
        }
        if let Err(k) = self.decider.admit() {
            bump(&self.tally.refused);
            let mut out = edge::error_response(k, "", Some(WriteOutcome::NotCommitted));
            out.close = k == ErrorKind::ZoneEvacuated;
            return out;
        }
        let gate = match self.decider.gate(word.database) {
            Ok(g) => g,
            Err(k) => return edge::error_response(k, "", Some(WriteOutcome::NotCommitted)),
        };
        let key = self.gauges.key(word.database, word.label);
        let task = Task { gate: &gate, key: &key, word: &word, body: &ask.body, due };
        let out = match word.verb {
            Verb::Read => self.read(store, &task).await,
            Verb::Write if named => self.write_once(store, &task).await,
            Verb::Write => self.write(store, &task).await,
            Verb::Begin => self.begin(store, &task).await,
            Verb::Set | Verb::Prepare => self.state(store, &task).await,
            Verb::Rollback if ended.is_some() => HttpResponse::new(200, "{}"),
            Verb::Rollback => {
                edge::error_response(ErrorKind::OutOfOrder, "no transaction is open", Some(WriteOutcome::NotCommitted))
            }
            // Made again, perhaps: what became of it the first time can't be told here.
            Verb::Commit => {
                edge::error_response(ErrorKind::OutOfOrder, "no transaction is open here", Some(WriteOutcome::Unknown))
            }
        };
        if out.status == 503 {
            bump(&self.tally.refused);
        }
        if out.status == 504 {
            bump(&self.tally.unknown);
        }
        out
    }

    /// The session's state for a database, and the mark a connection wears for it.
    pub fn state_of(&self, store: &RefCell<Store>, name: &str) -> (StateOwner, Vec<(Verb, Bytes)>) {
        let s = store.borrow();
        let list = s.states.get(name).cloned().unwrap_or_default();
        let dress = if list.is_empty() {
            StateOwner::default()
        } else {
            StateOwner { session: s.id, name: name.into(), count: list.len() }
        };
        (dress, list)
    }

    /// Adds a statement to the session's state once a server has taken it.
    async fn state(&self, store: &RefCell<Store>, task: &Task<'_>) -> HttpResponse {
        let gate = task.gate;
        if !store.borrow().room(&gate.name, task.body.len()) {
            return edge::error_response(
                ErrorKind::Overloaded,
                "the session has too many values and prepared names",
                Some(WriteOutcome::NotCommitted),
            );
        }
        let any = MatchedRoute { promise: Consistency::Any, ..gate.clone() };
        let out = self.read_as(store, &Task { gate: &any, ..*task }).await;
        if out.status < 300 {
            self.keep_state(store, &gate.name, task.word.verb, task.body);
        }
        out
    }

    /// Notes a session statement that a server took.
    pub fn keep_state(&self, store: &RefCell<Store>, name: &str, verb: Verb, body: &Bytes) {
        let mut s = store.borrow_mut();
        s.states.entry(name.into()).or_default().push((verb, body.clone()));
    }
}
