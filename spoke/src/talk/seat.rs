use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use base::{
    Kind,
    seam::Local,
    talk::{Act, Fail, Phase, Request, Said, Seat, Told},
    words::Position,
};

use super::trans::Trans;
use crate::work::Works;

/// How many values and prepared names one session may have.
const STATES: usize = 256;

/// What a session owns.
#[derive(Default)]
pub struct Stock {
    pub name: String,
    pub values: BTreeMap<String, String>,
    /// Prepared names: whether they write, and what was prepared.
    pub names: BTreeMap<String, (bool, String)>,
    /// The newest position of the session's own commits.
    pub own: Position,
    pub phase: Phase,
    /// The statement that opened the transaction.
    pub begun: Option<Said>,
    pub trans: Option<Trans>,
    /// The transaction was ended for the caller, who was not told yet.
    pub ended: bool,
    pub busy: bool,
}

/// One caller's session.
pub struct Guest {
    works: Rc<Works>,
    stock: Rc<RefCell<Stock>>,
}

impl Guest {
    /// A session with no state.
    pub fn new(works: &Rc<Works>, name: &str) -> Self {
        let stock = Stock { name: name.into(), ..Stock::default() };
        Self { works: works.clone(), stock: Rc::new(RefCell::new(stock)) }
    }
}

impl Seat for Guest {
    fn say(&self, said: Said) -> Local<Told> {
        let (works, stock) = (self.works.clone(), self.stock.clone());
        Box::pin(async move {
            stock.borrow_mut().busy = true;
            let mut told = works.hear(&stock, said).await;
            let mut s = stock.borrow_mut();
            s.busy = false;
            told.phase = s.phase;
            told
        })
    }

    fn free(&self) -> bool {
        let s = self.stock.borrow();
        s.phase == Phase::Idle && !s.busy
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        if let Some(t) = self.stock.borrow_mut().trans.take() {
            let works = self.works.clone();
            self.works.env.spawn(async move { works.undo(t).await }).detach();
        }
    }
}

/// An answer; the phase is filled in from the session.
pub fn told(end: Result<String, Fail>, place: Option<Position>) -> Told {
    Told { rows: Vec::new(), end, phase: Phase::Idle, place }
}

/// An answer that needed no server.
fn done() -> Told {
    told(Ok(String::new()), None)
}

impl Works {
    /// Answers one statement of a session.
    async fn hear(self: &Rc<Self>, stock: &Rc<RefCell<Stock>>, said: Said) -> Told {
        let phase = stock.borrow().phase;
        let out = |kind| told(Err(Fail::no(kind)), None);
        if phase == Phase::Failed {
            let ended = std::mem::take(&mut stock.borrow_mut().ended);
            return match said.act {
                Act::Rollback => self.end(stock, Ok(())),
                Act::Commit => self.end(stock, Err(Fail::no(Kind::Lost))),
                _ if ended => out(Kind::Lost),
                _ => out(Kind::Order),
            };
        }
        match said.act {
            Act::Set | Act::Prepare { .. } | Act::Drop => {
                let out = stock.borrow_mut().keep(&said);
                match out {
                    Ok(()) => done(),
                    Err(kind) => self.fail(stock, Fail::no(kind)),
                }
            }
            Act::Begin { .. } if phase == Phase::Idle => {
                let mut s = stock.borrow_mut();
                s.phase = Phase::Open;
                s.begun = Some(said);
                drop(s);
                self.rest(stock);
                done()
            }
            Act::Read | Act::Write | Act::Use => {
                let writes = match stock.borrow().writes(&said) {
                    Some(w) => w,
                    None => return self.fail(stock, Fail::no(Kind::NoName)),
                };
                if phase == Phase::Open {
                    return self.within_talk(stock, &said, writes).await;
                }
                match Request::of(said, writes) {
                    Request::Once(statement) => self.write_talk(stock, statement).await,
                    Request::Repeatable(statement) => self.read_talk(stock, statement).await,
                }
            }
            Act::Commit if phase == Phase::Open => self.commit(stock, &said).await,
            Act::Rollback if phase == Phase::Open => self.end(stock, Ok(())),
            _ => self.fail(stock, Fail::no(Kind::Order)),
        }
    }

    /// A failed statement: in a transaction, everything of it is rolled back.
    pub fn fail(self: &Rc<Self>, stock: &RefCell<Stock>, fail: Fail) -> Told {
        let mut s = stock.borrow_mut();
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
    fn end(self: &Rc<Self>, stock: &RefCell<Stock>, out: Result<(), Fail>) -> Told {
        let mut s = stock.borrow_mut();
        s.phase = Phase::Idle;
        s.begun = None;
        if let Some(t) = s.trans.take() {
            let me = self.clone();
            self.env.spawn(async move { me.undo(t).await }).detach();
        }
        told(out.map(|()| String::new()), None)
    }
}

impl Stock {
    /// Notes a value or a prepared name.
    fn keep(&mut self, said: &Said) -> Result<(), Kind> {
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
    fn writes(&self, said: &Said) -> Option<bool> {
        match said.act {
            Act::Use => self.names.get(&said.name).map(|n| n.0),
            act => Some(act == Act::Write),
        }
    }

    /// What was prepared under the name that a statement uses.
    pub fn prepared(&self, said: &Said) -> Option<(bool, String)> {
        if said.act == Act::Use { self.names.get(&said.name).cloned() } else { None }
    }
}
