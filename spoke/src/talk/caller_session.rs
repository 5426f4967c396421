use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use base::{
    Kind,
    seam::Local,
    talk::{Act, Answer, DatabaseSession, Fail, Phase, Request, Statement},
    words::Position,
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
    pub phase: Phase,
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
    fn say(&self, said: Statement) -> Local<Answer> {
        let (works, session) = (self.works.clone(), self.session.clone());
        Box::pin(async move {
            session.borrow_mut().busy = true;
            let mut told = works.hear(&session, said).await;
            let mut s = session.borrow_mut();
            s.busy = false;
            told.phase = s.phase;
            told
        })
    }

    fn free(&self) -> bool {
        let s = self.session.borrow();
        s.phase == Phase::Idle && !s.busy
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
pub fn told(end: Result<String, Fail>, place: Option<Position>) -> Answer {
    Answer { rows: Vec::new(), end, phase: Phase::Idle, place }
}

/// An answer that needed no server.
fn done() -> Answer {
    told(Ok(String::new()), None)
}

impl WorkContext {
    /// Answers one statement of a session.
    async fn hear(self: &Rc<Self>, session: &Rc<RefCell<SessionData>>, said: Statement) -> Answer {
        let phase = session.borrow().phase;
        let out = |kind| told(Err(Fail::no(kind)), None);
        if phase == Phase::Failed {
            let ended = std::mem::take(&mut session.borrow_mut().ended);
            return match said.act {
                Act::Rollback => self.end(session, Ok(())),
                Act::Commit => self.end(session, Err(Fail::no(Kind::Lost))),
                _ if ended => out(Kind::Lost),
                _ => out(Kind::Order),
            };
        }
        match said.act {
            Act::Set | Act::Prepare { .. } | Act::Drop => {
                let out = session.borrow_mut().keep(&said);
                match out {
                    Ok(()) => done(),
                    Err(kind) => self.fail(session, Fail::no(kind)),
                }
            }
            Act::Begin { .. } if phase == Phase::Idle => {
                let mut s = session.borrow_mut();
                s.phase = Phase::Open;
                s.begun = Some(said);
                drop(s);
                self.rest(session);
                done()
            }
            Act::Read | Act::Write | Act::Use => {
                let writes = match session.borrow().writes(&said) {
                    Some(w) => w,
                    None => return self.fail(session, Fail::no(Kind::NoName)),
                };
                if phase == Phase::Open {
                    return self.within_talk(session, &said, writes).await;
                }
                match Request::of(said, writes) {
                    Request::Once(statement) => self.write_talk(session, statement).await,
                    Request::Repeatable(statement) => self.read_talk(session, statement).await,
                }
            }
            Act::Commit if phase == Phase::Open => self.commit(session, &said).await,
            Act::Rollback if phase == Phase::Open => self.end(session, Ok(())),
            _ => self.fail(session, Fail::no(Kind::Order)),
        }
    }

    /// A failed statement: in a transaction, everything of it is rolled back.
    pub fn fail(self: &Rc<Self>, session: &RefCell<SessionData>, fail: Fail) -> Answer {
        let mut s = session.borrow_mut();
        if s.phase != Phase::Idle {
            s.phase = Phase::Failed;
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
    fn end(self: &Rc<Self>, session: &RefCell<SessionData>, out: Result<(), Fail>) -> Answer {
        let mut s = session.borrow_mut();
        s.phase = Phase::Idle;
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
    fn keep(&mut self, said: &Statement) -> Result<(), Kind> {
        if self.values.len() + self.names.len() >= STATES {
            return Err(Kind::Full);
        }
        match said.act {
            Act::Set => {
                self.values.insert(said.name.clone(), said.text.clone());
            }
            Act::Prepare { writes } => {
                self.names.insert(said.name.clone(), (writes, said.text.clone()));
            }
            _ => {
                self.names.remove(&said.name).ok_or(Kind::NoName)?;
            }
        }
        Ok(())
    }

    /// Whether a statement writes; `None` where its name is not known.
    fn writes(&self, said: &Statement) -> Option<bool> {
        match said.act {
            Act::Use => self.names.get(&said.name).map(|n| n.0),
            act => Some(act == Act::Write),
        }
    }

    /// What was prepared under the name that a statement uses.
    pub fn prepared(&self, said: &Statement) -> Option<(bool, String)> {
        if said.act == Act::Use { self.names.get(&said.name).cloned() } else { None }
    }
}
