//! One client's session: its state, and the dispatch of its statements.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use base::{
    ErrorKind,
    position::Position,
    protocol::{
        DatabaseSession, Request, Statement, StatementError, StatementKind, StatementResponse, TransactionState,
    },
    runtime::LocalFuture,
};

use super::transaction::ProtocolTransaction;
use crate::execution::ExecutionContext;

/// How many values and prepared names one session may have.
const MAX_SESSION_STATES: usize = 256;

/// The state of one session.
#[derive(Default)]
pub struct SessionData {
    pub database: String,
    pub values: BTreeMap<String, String>,
    /// By prepared name: whether the prepared statement writes, and its text.
    pub prepared_statements: BTreeMap<String, (bool, String)>,
    /// The newest position of the session's own commits.
    pub last_commit: Position,
    pub transaction_state: TransactionState,
    /// The statement that opened the transaction.
    pub begin: Option<Statement>,
    /// The transaction, once it is open at a server.
    pub transaction: Option<ProtocolTransaction>,
    /// Whether the node ended the transaction and the client was not informed yet.
    pub ended_by_node: bool,
    /// Whether a statement is being executed.
    pub busy: bool,
}

/// One client's session.
pub struct ClientSession {
    context: Rc<ExecutionContext>,
    session: Rc<RefCell<SessionData>>,
}

impl ClientSession {
    /// A session without state, for this database.
    pub fn new(context: &Rc<ExecutionContext>, database: &str) -> Self {
        let session = SessionData { database: database.into(), ..SessionData::default() };
        Self { context: context.clone(), session: Rc::new(RefCell::new(session)) }
    }
}

impl DatabaseSession for ClientSession {
    fn execute(&self, statement: Statement) -> LocalFuture<StatementResponse> {
        let (context, session) = (self.context.clone(), self.session.clone());
        Box::pin(async move {
            session.borrow_mut().busy = true;
            let mut response = context.handle_statement(&session, statement).await;
            let mut session = session.borrow_mut();
            session.busy = false;
            response.transaction = session.transaction_state;
            response
        })
    }

    fn can_close(&self) -> bool {
        let session = self.session.borrow();
        session.transaction_state == TransactionState::Idle && !session.busy
    }
}

impl Drop for ClientSession {
    fn drop(&mut self) {
        if let Some(transaction) = self.session.borrow_mut().transaction.take() {
            let context = self.context.clone();
            self.context.env.spawn(async move { context.abort_transaction(transaction).await }).detach();
        }
    }
}

/// A response without rows; the session fills in the transaction state.
pub fn response(result: Result<String, StatementError>, position: Option<Position>) -> StatementResponse {
    StatementResponse { rows: Vec::new(), result, transaction: TransactionState::Idle, position }
}

/// The response to a statement that needed no server.
fn empty_response() -> StatementResponse {
    response(Ok(String::new()), None)
}

impl ExecutionContext {
    /// Executes one statement of a session.
    async fn handle_statement(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        statement: Statement,
    ) -> StatementResponse {
        let state = session.borrow().transaction_state;
        let not_committed = |kind| response(Err(StatementError::not_committed(kind)), None);
        if state == TransactionState::Failed {
            let ended_by_node = std::mem::take(&mut session.borrow_mut().ended_by_node);
            return match statement.kind {
                StatementKind::Rollback => self.end_transaction(session, Ok(())),
                StatementKind::Commit => {
                    self.end_transaction(session, Err(StatementError::not_committed(ErrorKind::TransactionLost)))
                }
                _ if ended_by_node => not_committed(ErrorKind::TransactionLost),
                _ => not_committed(ErrorKind::OutOfOrder),
            };
        }
        match statement.kind {
            StatementKind::Set | StatementKind::Prepare { .. } | StatementKind::Deallocate => {
                let result = session.borrow_mut().record_state(&statement);
                match result {
                    Ok(()) => empty_response(),
                    Err(kind) => self.fail(session, StatementError::not_committed(kind)),
                }
            }
            StatementKind::Begin { .. } if state == TransactionState::Idle => {
                let mut data = session.borrow_mut();
                data.transaction_state = TransactionState::Open;
                data.begin = Some(statement);
                drop(data);
                self.start_protocol_idle_timer(session);
                empty_response()
            }
            StatementKind::Read | StatementKind::Write | StatementKind::Execute => {
                let is_write = session.borrow().is_write(&statement);
                let Some(is_write) = is_write else {
                    return self.fail(session, StatementError::not_committed(ErrorKind::UnknownPreparedName));
                };
                if state == TransactionState::Open {
                    return self.protocol_statement_in_transaction(session, &statement, is_write).await;
                }
                match Request::classify(statement, is_write) {
                    Request::Once(statement) => self.protocol_write(session, statement).await,
                    Request::Repeatable(statement) => self.protocol_read(session, statement).await,
                }
            }
            StatementKind::Commit if state == TransactionState::Open => self.commit(session, &statement).await,
            StatementKind::Rollback if state == TransactionState::Open => self.end_transaction(session, Ok(())),
            _ => self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder)),
        }
    }

    /// The response to a failed statement. Inside a transaction, the whole transaction is rolled back.
    pub fn fail(self: &Rc<Self>, session: &RefCell<SessionData>, error: StatementError) -> StatementResponse {
        let mut data = session.borrow_mut();
        if data.transaction_state != TransactionState::Idle {
            data.transaction_state = TransactionState::Failed;
            data.begin = None;
            if let Some(transaction) = data.transaction.take() {
                let context = self.clone();
                self.env.spawn(async move { context.abort_transaction(transaction).await }).detach();
            }
        }
        drop(data);
        response(Err(error), None)
    }

    /// Ends the transaction without a commit.
    fn end_transaction(
        self: &Rc<Self>,
        session: &RefCell<SessionData>,
        result: Result<(), StatementError>,
    ) -> StatementResponse {
        let mut data = session.borrow_mut();
        data.transaction_state = TransactionState::Idle;
        data.begin = None;
        if let Some(transaction) = data.transaction.take() {
            let context = self.clone();
            self.env.spawn(async move { context.abort_transaction(transaction).await }).detach();
        }
        response(result.map(|()| String::new()), None)
    }
}

impl SessionData {
    /// Adds a value or a prepared name to the session, or removes a prepared name.
    ///
    /// # Errors
    /// `Overloaded` if the session has too many of them, `UnknownPreparedName` if the name to remove does not exist.
    fn record_state(&mut self, statement: &Statement) -> Result<(), ErrorKind> {
        if self.values.len() + self.prepared_statements.len() >= MAX_SESSION_STATES {
            return Err(ErrorKind::Overloaded);
        }
        match statement.kind {
            StatementKind::Set => {
                self.values.insert(statement.name.clone(), statement.text.clone());
            }
            StatementKind::Prepare { writes } => {
                self.prepared_statements.insert(statement.name.clone(), (writes, statement.text.clone()));
            }
            _ => {
                self.prepared_statements.remove(&statement.name).ok_or(ErrorKind::UnknownPreparedName)?;
            }
        }
        Ok(())
    }

    /// Whether a statement writes; `None` if its prepared name is unknown.
    fn is_write(&self, statement: &Statement) -> Option<bool> {
        match statement.kind {
            StatementKind::Execute => self.prepared_statements.get(&statement.name).map(|n| n.0),
            kind => Some(kind == StatementKind::Write),
        }
    }

    /// The prepared statement that an `Execute` statement names: whether it writes, and its text.
    pub fn prepared(&self, statement: &Statement) -> Option<(bool, String)> {
        if statement.kind == StatementKind::Execute {
            self.prepared_statements.get(&statement.name).cloned()
        } else {
            None
        }
    }
}
