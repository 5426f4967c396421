use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use base::{
    ErrorKind,
    position::Position,
    protocol::{
        DatabaseSession, Request, Statement, StatementError, StatementKind, StatementResponse, TransactionState,
    },
    runtime::LocalFuture,
};

use super::trans::Trans;
use crate::work::WorkContext;

/// How many values and prepared names one session may have.
const STATES: usize = 256;

/// What a session owns.
#[derive(Default)]
pub struct SessionData {
    pub name: String,
    pub values: BTreeMap<String, String>,
    /// Prepared names: whether they write, and what was prepared.
    pub names: BTreeMap<String, (bool, String)>,
    /// The newest position of the session's own commits.
    pub own: Position,
    pub phase: TransactionState,
    /// The statement that opened the transaction.
    pub begun: Option<Statement>,
    pub trans: Option<Trans>,
    /// The transaction was ended for the caller, who was not told yet.
    pub ended: bool,
    pub busy: bool,
}

/// One caller's session.
pub struct CallerSession {
    works: Rc<WorkContext>,
    session: Rc<RefCell<SessionData>>,
}

impl CallerSession {
    /// A session with no state.
    pub fn new(works: &Rc<WorkContext>, name: &str) -> Self {
        let session = SessionData { name: name.into(), ..SessionData::default() };
        Self { works: works.clone(), session: Rc::new(RefCell::new(session)) }
    }
}

impl DatabaseSession for CallerSession {
    fn execute(&self, said: Statement) -> LocalFuture<StatementResponse> {
        let (works, session) = (self.works.clone(), self.session.clone());
        Box::pin(async move {
            session.borrow_mut().busy = true;
            let mut told = works.hear(&session, said).await;
            let mut s = session.borrow_mut();
            s.busy = false;
            told.transaction = s.phase;
            told
        })
    }

    fn can_close(&self) -> bool {
        let s = self.session.borrow();
        s.phase == TransactionState::Idle && !s.busy
    }
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        if let Some(t) = self.session.borrow_mut().trans.take() {
            let works = self.works.clone();
            self.works.env.spawn(async move { works.undo(t).await }).detach();
        }
    }
}

/// An answer; the phase is filled in from the session.
pub fn told(end: Result<String, StatementError>, place: Option<Position>) -> StatementResponse {
    StatementResponse { rows: Vec::new(), result: end, transaction: TransactionState::Idle, position: place }
}

/// An answer that needed no server.
fn done() -> StatementResponse {
    told(Ok(String::new()), None)
}

impl WorkContext {
    /// Answers one statement of a session.
    async fn hear(self: &Rc<Self>, session: &Rc<RefCell<SessionData>>, said: Statement) -> StatementResponse {
        let phase = session.borrow().phase;
        let out = |kind| told(Err(StatementError::not_committed(kind)), None);
        if phase == TransactionState::Failed {
            let ended = std::mem::take(&mut session.borrow_mut().ended);
            return match said.kind {
                StatementKind::Rollback => self.end(session, Ok(())),
                StatementKind::Commit => {
                    self.end(session, Err(StatementError::not_committed(ErrorKind::TransactionLost)))
                }
                _ if ended => out(ErrorKind::TransactionLost),
                _ => out(ErrorKind::OutOfOrder),
            };
        }
        match said.kind {
            StatementKind::Set | StatementKind::Prepare { .. } | StatementKind::Deallocate => {
                let out = session.borrow_mut().keep(&said);
                match out {
                    Ok(()) => done(),
                    Err(kind) => self.fail(session, StatementError::not_committed(kind)),
                }
            }
            StatementKind::Begin { .. } if phase == TransactionState::Idle => {
                let mut s = session.borrow_mut();
                s.phase = TransactionState::Open;
                s.begun = Some(said);
                drop(s);
                self.rest(session);
                done()
            }
            StatementKind::Read | StatementKind::Write | StatementKind::Execute => {
                let writes = match session.borrow().writes(&said) {
                    Some(w) => w,
                    None => return self.fail(session, StatementError::not_committed(ErrorKind::UnknownPreparedName)),
                };
                if phase == TransactionState::Open {
                    return self.within_talk(session, &said, writes).await;
                }
                match Request::classify(said, writes) {
                    Request::Once(statement) => self.write_talk(session, statement).await,
                    Request::Repeatable(statement) => self.read_talk(session, statement).await,
                }
            }
            StatementKind::Commit if phase == TransactionState::Open => self.commit(session, &said).await,
            StatementKind::Rollback if phase == TransactionState::Open => self.end(session, Ok(())),
            _ => self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder)),
        }
    }

    /// A failed statement: in a transaction, everything of it is rolled back.
    pub fn fail(self: &Rc<Self>, session: &RefCell<SessionData>, fail: StatementError) -> StatementResponse {
        let mut s = session.borrow_mut();
        if s.phase != TransactionState::Idle {
            s.phase = TransactionState::Failed;
            s.begun = None;
            if let Some(t) = s.trans.take() {
                let me = self.clone();
                self.env.spawn(async move { me.undo(t).await }).detach();
            }
        }
        drop(s);
        told(Err(fail), None)
    }

    /// Ends the transaction without a commit.
    fn end(self: &Rc<Self>, session: &RefCell<SessionData>, out: Result<(), StatementError>) -> StatementResponse {
        let mut s = session.borrow_mut();
        s.phase = TransactionState::Idle;
        s.begun = None;
        if let Some(t) = s.trans.take() {
            let me = self.clone();
            self.env.spawn(async move { me.undo(t).await }).detach();
        }
        told(out.map(|()| String::new()), None)
    }
}

impl SessionData {
    /// Notes a value or a prepared name.
    fn keep(&mut self, said: &Statement) -> Result<(), ErrorKind> {
        if self.values.len() + self.names.len() >= STATES {
            return Err(ErrorKind::Overloaded);
        }
        match said.kind {
            StatementKind::Set => {
                self.values.insert(said.name.clone(), said.text.clone());
            }
            StatementKind::Prepare { writes } => {
                self.names.insert(said.name.clone(), (writes, said.text.clone()));
            }
            _ => {
                self.names.remove(&said.name).ok_or(ErrorKind::UnknownPreparedName)?;
            }
        }
        Ok(())
    }

    /// Whether a statement writes; `None` where its name is not known.
    fn writes(&self, said: &Statement) -> Option<bool> {
        match said.kind {
            StatementKind::Execute => self.names.get(&said.name).map(|n| n.0),
            act => Some(act == StatementKind::Write),
        }
    }

    /// What was prepared under the name that a statement uses.
    pub fn prepared(&self, said: &Statement) -> Option<(bool, String)> {
        if said.kind == StatementKind::Execute { self.names.get(&said.name).cloned() } else { None }
    }
}
