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

use super::{ExecutionContext, PendingStatement, increment};
use crate::{
    pool::{Slot, StateOwner},
    routing::{MatchedRoute, Target},
};

/// How many session statements one session may have for one database.
pub const MAX_SESSION_STATEMENTS: usize = 64;
/// How many bytes they may have together, over all databases.
const MAX_SESSION_STATE_BYTES: usize = 1 << 20;

/// An open transaction.
pub struct Transaction {
    pub slot: Slot,
    pub target: Target,
    pub database: String,
    /// Ends the transaction when it sits idle too long.
    pub idle_timer: Option<TaskGuard>,
}

/// What a transaction that was ended for the caller leaves behind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedTransaction(pub ErrorKind);

/// What a session owns.
#[derive(Default)]
pub struct SessionStore {
    pub id: u64,
    pub token: Token,
    pub statements: BTreeMap<String, Vec<(Verb, Bytes)>>,
    pub transaction: Option<Transaction>,
    pub ended: Option<EndedTransaction>,
    pub client_disconnected: bool,
    /// A request is being worked on.
    pub busy: bool,
}

impl SessionStore {
    /// Whether the session may set another value or name for a database.
    pub fn has_room(&self, name: &str, more: usize) -> bool {
        let bytes: usize = self.statements.values().flatten().map(|s| s.1.len()).sum();
        self.statements.get(name).map_or(0, Vec::len) < MAX_SESSION_STATEMENTS
            && bytes + more <= MAX_SESSION_STATE_BYTES
    }
}

/// One caller's connection: its session.
pub struct HttpSession {
    context: Rc<ExecutionContext>,
    store: Rc<RefCell<SessionStore>>,
}

impl HttpSession {
    /// A session with no state.
    pub fn new(works: &Rc<ExecutionContext>) -> Self {
        works.last_session_id.set(works.last_session_id.get() + 1);
        increment(&works.counters.sessions);
        let store = SessionStore { id: works.last_session_id.get(), ..SessionStore::default() };
        Self { context: works.clone(), store: Rc::new(RefCell::new(store)) }
    }
}

impl RequestHandler for HttpSession {
    fn handle(&self, ask: HttpRequest) -> LocalFuture<HttpResponse> {
        let (works, store) = (self.context.clone(), self.store.clone());
        Box::pin(async move {
            let (done, wait) = oneshot::channel();
            // In a task of its own: a caller who leaves must not leave a server half-way through a statement.
            let env = works.env.clone();
            store.borrow_mut().busy = true;
            env.spawn(async move {
                let out = works.handle_request(&store, &ask).await;
                store.borrow_mut().busy = false;
                let _ = done.send(out);
                works.roll_back_if_disconnected(&store);
            })
            .detach();
            wait.await
                .unwrap_or_else(|_| edge::error_response(ErrorKind::ServerFailed, "", Some(WriteOutcome::Unknown)))
        })
    }

    fn can_close(&self) -> bool {
        let s = self.store.borrow();
        s.transaction.is_none() && !s.busy
    }
}

impl Drop for HttpSession {
    fn drop(&mut self) {
        self.store.borrow_mut().client_disconnected = true;
        self.context.roll_back_if_disconnected(&self.store);
    }
}

impl ExecutionContext {
    /// Rolls back what a caller who left had open.
    fn roll_back_if_disconnected(self: &Rc<Self>, store: &Rc<RefCell<SessionStore>>) {
        if !store.borrow().client_disconnected {
            return;
        }
        if let Some(t) = store.borrow_mut().transaction.take() {
            if self.router.disabled.no_rollback {
                return;
            }
            let me = self.clone();
            self.env.spawn(async move { me.roll_back(t).await }).detach();
        }
    }

    /// Rolls back at the server; a connection that doesn't show it did is closed.
    pub async fn roll_back(&self, mut t: Transaction) {
        let due = self.env.now() + self.router.bounds.call_timeout();
        let out = t.slot.call(backend::statement_path(Verb::Rollback), &[], Bytes::new(), due).await;
        if !matches!(&out, Ok(o) if o.status < 300) {
            t.slot.taint();
        }
    }

    /// Answers one request of a session.
    async fn handle_request(self: &Rc<Self>, store: &Rc<RefCell<SessionStore>>, ask: &HttpRequest) -> HttpResponse {
        let own = format!("{}-{}-{}", self.router.name, store.borrow().id, self.env.rand());
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
        let (most, _) = self.router.default_timeouts();
        let due = self.env.now() + word.timeout.unwrap_or(most).min(most);
        let open = store.borrow().transaction.is_some();
        if open {
            return self.execute_in_transaction(store, &word, &ask.body, due).await;
        }
        let ended = store.borrow_mut().ended.take();
        if let Some(EndedTransaction(kind)) = ended
            && !matches!(word.verb, Verb::Begin | Verb::Rollback)
        {
            return edge::error_response(
                kind,
                "the transaction was ended and nothing of it kept",
                Some(WriteOutcome::NotCommitted),
            );
        }
        if let Err(k) = self.router.check_admission() {
            increment(&self.counters.refused);
            let mut out = edge::error_response(k, "", Some(WriteOutcome::NotCommitted));
            out.close = k == ErrorKind::ZoneEvacuated;
            return out;
        }
        let gate = match self.router.route(word.database) {
            Ok(g) => g,
            Err(k) => return edge::error_response(k, "", Some(WriteOutcome::NotCommitted)),
        };
        let key = self.health.list_key(word.database, word.label);
        let task = PendingStatement { route: &gate, list_key: &key, request: &word, body: &ask.body, deadline: due };
        let out = match word.verb {
            Verb::Read => self.read(store, &task).await,
            Verb::Write if named => self.write_with_attempt_id(store, &task).await,
            Verb::Write => self.write(store, &task).await,
            Verb::Begin => self.begin(store, &task).await,
            Verb::Set | Verb::Prepare => self.execute_session_statement(store, &task).await,
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
            increment(&self.counters.refused);
        }
        if out.status == 504 {
            increment(&self.counters.unknown);
        }
        out
    }

    /// The session's state for a database, and the mark a connection wears for it.
    pub fn session_state(&self, store: &RefCell<SessionStore>, name: &str) -> (StateOwner, Vec<(Verb, Bytes)>) {
        let s = store.borrow();
        let list = s.statements.get(name).cloned().unwrap_or_default();
        let dress = if list.is_empty() {
            StateOwner::default()
        } else {
            StateOwner { session: s.id, database: name.into(), statements: list.len() }
        };
        (dress, list)
    }

    /// Adds a statement to the session's state once a server has taken it.
    async fn execute_session_statement(
        &self,
        store: &RefCell<SessionStore>,
        task: &PendingStatement<'_>,
    ) -> HttpResponse {
        let gate = task.route;
        if !store.borrow().has_room(&gate.name, task.body.len()) {
            return edge::error_response(
                ErrorKind::Overloaded,
                "the session has too many values and prepared names",
                Some(WriteOutcome::NotCommitted),
            );
        }
        let any = MatchedRoute { consistency: Consistency::Any, ..gate.clone() };
        let out = self.execute_repeatable(store, &PendingStatement { route: &any, ..*task }).await;
        if out.status < 300 {
            self.record_session_statement(store, &gate.name, task.request.verb, task.body);
        }
        out
    }

    /// Notes a session statement that a server took.
    pub fn record_session_statement(&self, store: &RefCell<SessionStore>, name: &str, verb: Verb, body: &Bytes) {
        let mut s = store.borrow_mut();
        s.statements.entry(name.into()).or_default().push((verb, body.clone()));
    }
}
