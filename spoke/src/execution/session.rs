//! A client's session over HTTP: its token, session statements and open transaction.

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

/// How many session statements (values and prepared names) one session may have for one database.
pub const MAX_SESSION_STATEMENTS: usize = 64;
/// How many bytes the session statements of one session may have together, over all databases.
const MAX_SESSION_STATE_BYTES: usize = 1 << 20;

/// An open transaction.
pub struct Transaction {
    pub slot: Slot,
    pub target: Target,
    pub database: String,
    /// Ends the transaction when it has been idle for too long.
    pub idle_timer: Option<TaskGuard>,
}

/// The error of a transaction that the node ended and whose client was not informed yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedTransaction(pub ErrorKind);

/// The state of one session.
#[derive(Default)]
pub struct SessionStore {
    pub id: u64,
    pub token: Token,
    /// Session statements by database, in the order of their execution.
    pub statements: BTreeMap<String, Vec<(Verb, Bytes)>>,
    pub transaction: Option<Transaction>,
    pub ended: Option<EndedTransaction>,
    pub client_disconnected: bool,
    /// Whether a request is being executed.
    pub busy: bool,
}

impl SessionStore {
    /// Whether the session may add another session statement of this length in bytes for a database.
    pub fn has_room(&self, database: &str, added_bytes: usize) -> bool {
        let bytes: usize = self.statements.values().flatten().map(|s| s.1.len()).sum();
        self.statements.get(database).map_or(0, Vec::len) < MAX_SESSION_STATEMENTS
            && bytes + added_bytes <= MAX_SESSION_STATE_BYTES
    }
}

/// One client's connection, which is its session.
pub struct HttpSession {
    context: Rc<ExecutionContext>,
    store: Rc<RefCell<SessionStore>>,
}

impl HttpSession {
    /// A session without state.
    pub fn new(context: &Rc<ExecutionContext>) -> Self {
        context.last_session_id.set(context.last_session_id.get() + 1);
        increment(&context.counters.sessions);
        let store = SessionStore { id: context.last_session_id.get(), ..SessionStore::default() };
        Self { context: context.clone(), store: Rc::new(RefCell::new(store)) }
    }
}

impl RequestHandler for HttpSession {
    fn handle(&self, request: HttpRequest) -> LocalFuture<HttpResponse> {
        let (context, store) = (self.context.clone(), self.store.clone());
        Box::pin(async move {
            let (done, wait) = oneshot::channel();
            // Runs in its own task, so that a client's disconnect does not leave a server in the middle of a statement.
            let env = context.env.clone();
            store.borrow_mut().busy = true;
            env.spawn(async move {
                let response = context.handle_request(&store, &request).await;
                store.borrow_mut().busy = false;
                let _ = done.send(response);
                context.roll_back_if_disconnected(&store);
            })
            .detach();
            wait.await
                .unwrap_or_else(|_| edge::error_response(ErrorKind::ServerFailed, "", Some(WriteOutcome::Unknown)))
        })
    }

    fn can_close(&self) -> bool {
        let store = self.store.borrow();
        store.transaction.is_none() && !store.busy
    }
}

impl Drop for HttpSession {
    fn drop(&mut self) {
        self.store.borrow_mut().client_disconnected = true;
        self.context.roll_back_if_disconnected(&self.store);
    }
}

impl ExecutionContext {
    /// Rolls back the open transaction of a client that has disconnected.
    fn roll_back_if_disconnected(self: &Rc<Self>, store: &Rc<RefCell<SessionStore>>) {
        if !store.borrow().client_disconnected {
            return;
        }
        if let Some(transaction) = store.borrow_mut().transaction.take() {
            if self.router.disabled.no_rollback {
                return;
            }
            let context = self.clone();
            self.env.spawn(async move { context.roll_back(transaction).await }).detach();
        }
    }

    /// Rolls a transaction back at its server. The connection is closed unless the server confirms the rollback.
    pub async fn roll_back(&self, mut transaction: Transaction) {
        let deadline = self.env.now() + self.router.bounds.call_timeout();
        let result = transaction.slot.call(backend::statement_path(Verb::Rollback), &[], Bytes::new(), deadline).await;
        if !matches!(&result, Ok(response) if response.status < 300) {
            transaction.slot.taint();
        }
    }

    /// Executes one request of a session and returns the response.
    async fn handle_request(
        self: &Rc<Self>,
        store: &Rc<RefCell<SessionStore>>,
        http_request: &HttpRequest,
    ) -> HttpResponse {
        let generated_id = format!("{}-{}-{}", self.router.name, store.borrow().id, self.env.rand());
        let has_attempt_id = http_request.header(client::ATTEMPT_ID_HEADER).is_some_and(|s| !s.is_empty());
        let request = match client::parse_request(http_request) {
            // Each attempt has an id; a request without one gets one here.
            Ok(request) if request.attempt_id.is_empty() => {
                client::ClientRequest { attempt_id: &generated_id, ..request }
            }
            Ok(request) => request,
            Err(kind) => return edge::error_response(kind, "", Some(WriteOutcome::NotCommitted)),
        };
        if let Some(token) = request.token {
            store.borrow_mut().token.merge(token);
        }
        let (max_timeout, _) = self.router.default_timeouts();
        let deadline = self.env.now() + request.timeout.unwrap_or(max_timeout).min(max_timeout);
        let in_transaction = store.borrow().transaction.is_some();
        if in_transaction {
            return self.execute_in_transaction(store, &request, &http_request.body, deadline).await;
        }
        let ended = store.borrow_mut().ended.take();
        if let Some(EndedTransaction(kind)) = ended
            && !matches!(request.verb, Verb::Begin | Verb::Rollback)
        {
            return edge::error_response(
                kind,
                "the transaction was ended and nothing of it kept",
                Some(WriteOutcome::NotCommitted),
            );
        }
        if let Err(kind) = self.router.check_admission() {
            increment(&self.counters.refused);
            let mut response = edge::error_response(kind, "", Some(WriteOutcome::NotCommitted));
            response.close = kind == ErrorKind::ZoneEvacuated;
            return response;
        }
        let route = match self.router.route(request.database) {
            Ok(route) => route,
            Err(kind) => return edge::error_response(kind, "", Some(WriteOutcome::NotCommitted)),
        };
        let list_key = self.health.list_key(request.database, request.label);
        let statement = PendingStatement {
            route: &route,
            list_key: &list_key,
            request: &request,
            body: &http_request.body,
            deadline,
        };
        let response = match request.verb {
            Verb::Read => self.read(store, &statement).await,
            Verb::Write if has_attempt_id => self.write_with_attempt_id(store, &statement).await,
            Verb::Write => self.write(store, &statement).await,
            Verb::Begin => self.begin(store, &statement).await,
            Verb::Set | Verb::Prepare => self.execute_session_statement(store, &statement).await,
            Verb::Rollback if ended.is_some() => HttpResponse::new(200, "{}"),
            Verb::Rollback => {
                edge::error_response(ErrorKind::OutOfOrder, "no transaction is open", Some(WriteOutcome::NotCommitted))
            }
            // This may be a repeated COMMIT; the outcome of the first one cannot be determined here.
            Verb::Commit => {
                edge::error_response(ErrorKind::OutOfOrder, "no transaction is open here", Some(WriteOutcome::Unknown))
            }
        };
        if response.status == 503 {
            increment(&self.counters.refused);
        }
        if response.status == 504 {
            increment(&self.counters.unknown);
        }
        response
    }

    /// The session's statements for a database, and the owner that a connection records once they are applied to it.
    pub fn session_state(&self, store: &RefCell<SessionStore>, database: &str) -> (StateOwner, Vec<(Verb, Bytes)>) {
        let store = store.borrow();
        let statements = store.statements.get(database).cloned().unwrap_or_default();
        let owner = if statements.is_empty() {
            StateOwner::default()
        } else {
            StateOwner { session: store.id, database: database.into(), statements: statements.len() }
        };
        (owner, statements)
    }

    /// Executes a session statement on any server, and adds it to the session's state if the server accepted it.
    async fn execute_session_statement(
        &self,
        store: &RefCell<SessionStore>,
        statement: &PendingStatement<'_>,
    ) -> HttpResponse {
        let route = statement.route;
        if !store.borrow().has_room(&route.name, statement.body.len()) {
            return edge::error_response(
                ErrorKind::Overloaded,
                "the session has too many values and prepared names",
                Some(WriteOutcome::NotCommitted),
            );
        }
        let any_server = MatchedRoute { consistency: Consistency::Any, ..route.clone() };
        let response = self.execute_repeatable(store, &PendingStatement { route: &any_server, ..*statement }).await;
        if response.status < 300 {
            self.record_session_statement(store, &route.name, statement.request.verb, statement.body);
        }
        response
    }

    /// Adds a session statement that a server accepted to the session's state.
    pub fn record_session_statement(&self, store: &RefCell<SessionStore>, database: &str, verb: Verb, body: &Bytes) {
        let mut store = store.borrow_mut();
        store.statements.entry(database.into()).or_default().push((verb, body.clone()));
    }
}
