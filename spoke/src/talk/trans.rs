use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{
    Kind,
    edge::operator::Promise,
    error::Kept,
    seam::Job,
    talk::{Act, Answer, Fail, Once, Phase, Repeatable, Statement, Verdict},
};

use super::{
    caller_session::{SessionData, told},
    read::floor,
    send::{OnceError, SendError, SessionState},
};
use crate::{
    decide::{Basis, MatchedRoute, Order},
    gauge::Key,
    pool::Slot,
    work::{WorkContext, bump},
};

/// A transaction that was opened at a server, on a connection of its own.
pub struct Trans {
    slot: Slot,
    key: Key,
    gate: MatchedRoute,
    wrote: bool,
    idle: Option<Job>,
}

impl WorkContext {
    /// Rolls back at the server; a connection that doesn't show it did is closed.
    pub async fn undo(&self, mut t: Trans) {
        let due = self.env.now() + self.decider.bounds.call();
        let out = t.slot.say(&Statement::own(Act::Rollback), None, due).await;
        if !matches!(&out, Ok(r) if r.phase == Phase::Idle && matches!(r.verdict, Verdict::Done(_))) {
            t.slot.spoil();
        }
    }

    /// Ends the transaction if nothing comes within the operator's limit.
    pub(super) fn rest(self: &Rc<Self>, session: &Rc<RefCell<SessionData>>) {
        let (_, idle) = self.decider.limit();
        let (me, weak) = (self.clone(), Rc::downgrade(session));
        let Some(t) = &mut session.borrow_mut().trans else { return };
        t.idle = Some(self.env.spawn(async move {
            me.env.sleep(idle).await;
            let Some(session) = weak.upgrade() else { return };
            let t = {
                let mut s = session.borrow_mut();
                s.phase = Phase::Failed;
                s.ended = true;
                s.begun = None;
                s.trans.take()
            };
            if let Some(mut t) = t {
                if let Some(j) = t.idle.take() {
                    // This very task: it must not end itself.
                    j.detach();
                }
                me.undo(t).await;
            }
        }));
    }

    /// A statement of an open transaction; the first one opens it at a server.
    pub(super) async fn within_talk(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        said: &Statement,
        writes: bool,
    ) -> Answer {
        let held = session.borrow_mut().trans.take();
        let state = SessionState::of(&session.borrow(), said);
        let (mut t, due) = match held {
            Some(mut t) => {
                t.idle = None;
                let (most, _) = self.spans(&t.gate);
                let due = self.env.now() + most;
                (t, due)
            }
            None => {
                let begun = session.borrow().begun.clone();
                let Some(begun) = begun else { return self.fail(session, Fail::no(Kind::Order)) };
                return self.first(session, &begun, said, writes, &state).await;
            }
        };
        t.wrote |= writes;
        let due = self.soon(&t.gate, due);
        let out = self.send_once(&mut t.slot, &t.key, Once::new(said.clone()), &state, due).await;
        self.within_end(session, t, out.map_err(SendError::from))
    }

    /// When an answer inside a transaction is given up on. Nothing of it is kept before its commit, so its caller may
    /// make it again whole, and had better soon.
    fn soon(&self, gate: &MatchedRoute, due: Duration) -> Duration {
        gate.aim.map_or(due, |a| due.min(self.env.now() + a * 2))
    }

    fn within_end(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        t: Trans,
        out: Result<base::talk::Reply, SendError>,
    ) -> Answer {
        match out {
            Ok(reply) => {
                let Verdict::Done(mark) = reply.verdict else { return self.fail(session, Fail::no(Kind::Lost)) };
                session.borrow_mut().trans = Some(t);
                self.rest(session);
                Answer { rows: reply.rows, ..told(Ok(mark), reply.place) }
            }
            Err(_) => {
                // Its commit was never sent: whatever became of this statement, nothing of the transaction is kept.
                session.borrow_mut().trans = Some(t);
                bump(&self.tally.refused);
                self.fail(session, Fail::no(Kind::Lost))
            }
        }
    }

    /// Opens the transaction and says its first statement; both again elsewhere while that was surely not run.
    async fn first(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        begun: &Statement,
        said: &Statement,
        writes: bool,
        state: &SessionState,
    ) -> Answer {
        let name = session.borrow().name.clone();
        let start = self.env.now();
        let gate = match self.admitted_route(&name).await {
            Ok(g) => g,
            Err(k) => return self.fail(session, Fail::no(k)),
        };
        let (most, patience) = self.spans(&gate);
        let due = start + most;
        let key = self.gauges.key(&name, "");
        let mut tried = Vec::new();
        let mut statement = Once::new(said.clone());
        loop {
            let opened = self.open_trans(session, &gate, &key, begun, due, &mut tried).await;
            let kind = match opened {
                Err(k) => k,
                Ok(slot) => {
                    let mut t = Trans { slot, key: key.clone(), gate: gate.clone(), wrote: writes, idle: None };
                    let out = self.send_once(&mut t.slot, &key, statement, state, self.soon(&gate, due)).await;
                    match out {
                        Err(OnceError::NotRun(k, back)) if said.act != Act::Commit => {
                            statement = back;
                            self.undo(t).await;
                            k
                        }
                        out if said.act == Act::Commit => {
                            return self.commit_end(session, t, out.map_err(SendError::from));
                        }
                        out => return self.within_end(session, t, out.map_err(SendError::from)),
                    }
                }
            };
            if self.env.now() >= start + patience {
                bump(&self.tally.refused);
                return self.fail(session, Fail::no(kind));
            }
            bump(&self.tally.retried);
            self.pause().await;
        }
    }

    /// A connection on which the transaction was opened: at the leader, or where it only reads and the doorway allows it,
    /// where a read may go.
    async fn open_trans(
        &self,
        session: &Rc<RefCell<SessionData>>,
        gate: &MatchedRoute,
        key: &Key,
        begun: &Statement,
        due: Duration,
        tried: &mut Vec<String>,
    ) -> Result<Slot, Kind> {
        let reads = begun.act == Act::Begin { reads: true };
        let own = session.borrow().own;
        let (mut slot, target) = if reads && gate.promise != Promise::Leader {
            let target = match self.decider.spot(gate, key, own, tried) {
                Order::Send(t) => t,
                Order::Return(k) => {
                    tried.clear();
                    return Err(k);
                }
            };
            tried.push(target.server.clone());
            let pool = self.pools.get(&target.server).ok_or(Kind::NoServer)?;
            let slot = pool.get(due).await?;
            let lead = matches!(target.basis, Basis::Leader { .. });
            if !self.decider.open(&target) || (lead && !self.decider.leads(&target)) {
                return Err(Kind::NoLeader);
            }
            (slot, target)
        } else {
            self.lead_slot(&gate.group, due).await?
        };
        let state = SessionState::of(&session.borrow(), begun);
        let opening = Repeatable::opening(begun).ok_or(Kind::Order)?;
        match self.send_repeatable(&mut slot, key, &opening, &state, floor(&target), due).await {
            Ok(_) => Ok(slot),
            Err(SendError::NotRun(k)) => {
                slot.spoil();
                Err(k)
            }
            Err(_) => {
                slot.spoil();
                Err(Kind::NoServer)
            }
        }
    }

    /// Commits; only a server's own word makes it a success.
    pub(super) async fn commit(self: &Rc<Self>, session: &Rc<RefCell<SessionData>>, said: &Statement) -> Answer {
        let held = session.borrow_mut().trans.take();
        let Some(mut t) = held else {
            // Nothing was said in it; even so the answer has to be a server's.
            let begun = session.borrow().begun.clone();
            let Some(begun) = begun else { return self.fail(session, Fail::no(Kind::Order)) };
            let state = SessionState::of(&session.borrow(), said);
            let out = self.first(session, &begun, said, false, &state).await;
            if out.end.is_err() {
                session.borrow_mut().phase = Phase::Idle;
            }
            return out;
        };
        t.idle = None;
        let (most, _) = self.spans(&t.gate);
        let due = self.env.now() + most;
        let state = SessionState::of(&session.borrow(), said);
        let out = self.send_once(&mut t.slot, &t.key, Once::new(said.clone()), &state, due).await;
        self.commit_end(session, t, out.map_err(SendError::from))
    }

    fn commit_end(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        mut t: Trans,
        out: Result<base::talk::Reply, SendError>,
    ) -> Answer {
        let mut s = session.borrow_mut();
        s.phase = Phase::Idle;
        s.begun = None;
        match out {
            Ok(reply) => {
                if reply.phase != Phase::Idle {
                    t.slot.spoil();
                }
                let Verdict::Done(mark) = reply.verdict else { return told(Err(Fail::unsure(Kind::Unknown)), None) };
                if let Some(p) = reply.place.filter(|_| t.wrote) {
                    s.own = s.own.max(p);
                }
                Answer { rows: reply.rows, ..told(Ok(mark), reply.place) }
            }
            Err(miss) => {
                t.slot.spoil();
                // What wrote nothing has nothing that could be kept.
                let certain = !t.wrote || matches!(miss, SendError::NotRun(_));
                bump(if certain { &self.tally.refused } else { &self.tally.unknown });
                let kind = if certain { Kind::Lost } else { Kind::Unknown };
                let kept = if certain { Kept::No } else { Kept::Unknown };
                told(Err(Fail { kept, ..Fail::no(kind) }), None)
            }
        }
    }
}
