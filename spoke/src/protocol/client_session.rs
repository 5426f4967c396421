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

/// What a session owns.
#[derive(Default)]
pub struct SessionData {
    pub database: String,
    pub values: BTreeMap<String, String>,
    /// Prepared names: whether they write, and what was prepared.
    pub prepared_statements: BTreeMap<String, (bool, String)>,
    /// The newest position of the session's own commits.
    pub last_commit: Position,
    pub transaction_state: TransactionState,
    /// The statement that opened the transaction.
    pub begin: Option<Statement>,
    pub transaction: Option<ProtocolTransaction>,
    /// The transaction was ended for the caller, who was not told yet.
    pub ended_by_node: bool,
    pub busy: bool,
}

/// One caller's session.
pub struct ClientSession {
    context: Rc<ExecutionContext>,
    session: Rc<RefCell<SessionData>>,
}

impl ClientSession {
    /// A session with no state.
    pub fn new(works: &Rc<ExecutionContext>, name: &str) -> Self {
        let session = SessionData { database: name.into(), ..SessionData::default() };
        Self { context: works.clone(), session: Rc::new(RefCell::new(session)) }
    }
}

impl DatabaseSession for ClientSession {
    fn execute(&self, said: Statement) -> LocalFuture<StatementResponse> {
        let (works, session) = (self.context.clone(), self.session.clone());
        Box::pin(async move {
            session.borrow_mut().busy = true;
            let mut told = works.handle_statement(&session, said).await;
            let mut s = session.borrow_mut();
            s.busy = false;
            told.transaction = s.transaction_state;
            told
        })
    }

    fn can_close(&self) -> bool {
        let s = self.session.borrow();
        s.transaction_state == TransactionState::Idle && !s.busy
    }
}

impl Drop for ClientSession {
    fn drop(&mut self) {
        if let Some(t) = self.session.borrow_mut().transaction.take() {
            let works = self.context.clone();
            self.context.env.spawn(async move { works.abort_transaction(t).await }).detach();
        }
    }
}

/// An answer; the phase is filled in from the session.
pub fn response(end: Result<String, StatementError>, place: Option<Position>) -> StatementResponse {
    StatementResponse { rows: Vec::new(), result: end, transaction: TransactionState::Idle, position: place }
}

/// An answer that needed no server.
fn empty_response() -> StatementResponse {
    response(Ok(String::new()), None)
}

impl ExecutionContext {
    /// Answers one statement of a session.
    async fn handle_statement(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        said: Statement,
    ) -> StatementResponse {
        let phase = session.borrow().transaction_state;
        let out = |kind| response(Err(StatementError::not_committed(kind)), None);
        if phase == TransactionState::Failed {
            let ended = std::mem::take(&mut session.borrow_mut().ended_by_node);
            return match said.kind {
                StatementKind::Rollback => self.end_transaction(session, Ok(())),
                StatementKind::Commit => {
                    self.end_transaction(session, Err(StatementError::not_committed(ErrorKind::TransactionLost)))
                }
                _ if ended => out(ErrorKind::TransactionLost),
                _ => out(ErrorKind::OutOfOrder),
            };
        }
        match said.kind {
            StatementKind::Set | StatementKind::Prepare { .. } | StatementKind::Deallocate => {
                let out = session.borrow_mut().record_state(&said);
                match out {
                    Ok(()) => empty_response(),
                    Err(kind) => self.fail(session, StatementError::not_committed(kind)),
                }
            }
            StatementKind::Begin { .. } if phase == TransactionState::Idle => {
                let mut s = session.borrow_mut();
                s.transaction_state = TransactionState::Open;
                s.begin = Some(said);
                drop(s);
                self.start_protocol_idle_timer(session);
                empty_response()
            }
            StatementKind::Read | StatementKind::Write | StatementKind::Execute => {
                let writes = match session.borrow().is_write(&said) {
                    Some(w) => w,
                    None => return self.fail(session, StatementError::not_committed(ErrorKind::UnknownPreparedName)),
                };
                if phase == TransactionState::Open {
                    return self.protocol_statement_in_transaction(session, &said, writes).await;
                }
                match Request::classify(said, writes) {
                    Request::Once(statement) => self.protocol_write(session, statement).await,
                    Request::Repeatable(statement) => self.protocol_read(session, statement).await,
                }
            }
            StatementKind::Commit if phase == TransactionState::Open => self.commit(session, &said).await,
            StatementKind::Rollback if phase == TransactionState::Open => self.end_transaction(session, Ok(())),
            _ => self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder)),
        }
    }

    /// A failed statement: in a transaction, everything of it is rolled back.
    pub fn fail(self: &Rc<Self>, session: &RefCell<SessionData>, fail: StatementError) -> StatementResponse {
        let mut s = session.borrow_mut();
        if s.transaction_state != TransactionState::Idle {
            s.transaction_state = TransactionState::Failed;
            s.begin = None;
            if let Some(t) = s.transaction.take() {
                let me = self.clone();
                self.env.spawn(async move { me.abort_transaction(t).await }).detach();
            }
        }
        drop(s);
        response(Err(fail), None)
    }

    /// Ends the transaction without a commit.
    fn end_transaction(
        self: &Rc<Self>,
        session: &RefCell<SessionData>,
        out: Result<(), StatementError>,
    ) -> StatementResponse {
        let mut s = session.borrow_mut();
        s.transaction_state = TransactionState::Idle;
        s.begin = None;
        if let Some(t) = s.transaction.take() {
            let me = self.clone();
            self.env.spawn(async move { me.abort_transaction(t).await }).detach();
        }
        response(out.map(|()| String::new()), None)
    }
}

impl SessionData {
    /// Notes a value or a prepared name.
    fn record_state(&mut self, said: &Statement) -> Result<(), ErrorKind> {
        if self.values.len() + self.prepared_statements.len() >= MAX_SESSION_STATES {
            return Err(ErrorKind::Overloaded);
        }
        match said.kind {
            StatementKind::Set => {
                self.values.insert(said.name.clone(), said.text.clone());
            }
            StatementKind::Prepare { writes } => {
                self.prepared_statements.insert(said.name.clone(), (writes, said.text.clone()));
            }
            _ => {
                self.prepared_statements.remove(&said.name).ok_or(ErrorKind::UnknownPreparedName)?;
            }
        }
        Ok(())
    }

    /// Whether a statement writes; `None` where its name is not known.
    fn is_write(&self, said: &Statement) -> Option<bool> {
        match said.kind {
            StatementKind::Execute => self.prepared_statements.get(&said.name).map(|n| n.0),
            act => Some(act == StatementKind::Write),
        }
    }

    /// What was prepared under the name that a statement uses.
    pub fn prepared(&self, said: &Statement) -> Option<(bool, String)> {
        if said.kind == StatementKind::Execute { self.prepared_statements.get(&said.name).cloned() } else { None }
    }
}
