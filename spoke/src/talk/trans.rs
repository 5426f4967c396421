use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::operator::Consistency,
    error::WriteOutcome,
    protocol::{
        Once, Repeatable, ServerOutcome, Statement, StatementError, StatementKind, StatementResponse, TransactionState,
    },
    runtime::TaskGuard,
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
    idle: Option<TaskGuard>,
}

impl WorkContext {
    /// Rolls back at the server; a connection that doesn't show it did is closed.
    pub async fn undo(&self, mut t: Trans) {
        let due = self.env.now() + self.decider.bounds.call_timeout();
        let out = t.slot.say(&Statement::internal(StatementKind::Rollback), None, due).await;
        if !matches!(&out, Ok(r) if r.transaction == TransactionState::Idle && matches!(r.outcome, ServerOutcome::Done(_)))
        {
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
                s.phase = TransactionState::Failed;
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
    ) -> StatementResponse {
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
                let Some(begun) = begun else {
                    return self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder));
                };
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
        out: Result<base::protocol::ServerReply, SendError>,
    ) -> StatementResponse {
        match out {
            Ok(reply) => {
                let ServerOutcome::Done(mark) = reply.outcome else {
                    return self.fail(session, StatementError::not_committed(ErrorKind::TransactionLost));
                };
                session.borrow_mut().trans = Some(t);
                self.rest(session);
                StatementResponse { rows: reply.rows, ..told(Ok(mark), reply.position) }
            }
            Err(_) => {
                // Its commit was never sent: whatever became of this statement, nothing of the transaction is kept.
                session.borrow_mut().trans = Some(t);
                bump(&self.tally.refused);
                self.fail(session, StatementError::not_committed(ErrorKind::TransactionLost))
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
    ) -> StatementResponse {
        let name = session.borrow().name.clone();
        let start = self.env.now();
        let gate = match self.admitted_route(&name).await {
            Ok(g) => g,
            Err(k) => return self.fail(session, StatementError::not_committed(k)),
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
                        Err(OnceError::NotRun(k, back)) if said.kind != StatementKind::Commit => {
                            statement = back;
                            self.undo(t).await;
                            k
                        }
                        out if said.kind == StatementKind::Commit => {
                            return self.commit_end(session, t, out.map_err(SendError::from));
                        }
                        out => return self.within_end(session, t, out.map_err(SendError::from)),
                    }
                }
            };
            if self.env.now() >= start + patience {
                bump(&self.tally.refused);
                return self.fail(session, StatementError::not_committed(kind));
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
    ) -> Result<Slot, ErrorKind> {
        let reads = begun.kind == StatementKind::Begin { reads: true };
        let own = session.borrow().own;
        let (mut slot, target) = if reads && gate.promise != Consistency::Leader {
            let target = match self.decider.spot(gate, key, own, tried) {
                Order::Send(t) => t,
                Order::Return(k) => {
                    tried.clear();
                    return Err(k);
                }
            };
            tried.push(target.server.clone());
            let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
            let slot = pool.get(due).await?;
            let lead = matches!(target.basis, Basis::Leader { .. });
            if !self.decider.open(&target) || (lead && !self.decider.leads(&target)) {
                return Err(ErrorKind::NoPrimary);
            }
            (slot, target)
        } else {
            self.lead_slot(&gate.group, due).await?
        };
        let state = SessionState::of(&session.borrow(), begun);
        let opening = Repeatable::begin(begun).ok_or(ErrorKind::OutOfOrder)?;
        match self.send_repeatable(&mut slot, key, &opening, &state, floor(&target), due).await {
            Ok(_) => Ok(slot),
            Err(SendError::NotRun(k)) => {
                slot.spoil();
                Err(k)
            }
            Err(_) => {
                slot.spoil();
                Err(ErrorKind::NoServer)
            }
        }
    }

    /// Commits; only a server's own word makes it a success.
    pub(super) async fn commit(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        said: &Statement,
    ) -> StatementResponse {
        let held = session.borrow_mut().trans.take();
        let Some(mut t) = held else {
            // Nothing was said in it; even so the answer has to be a server's.
            let begun = session.borrow().begun.clone();
            let Some(begun) = begun else {
                return self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder));
            };
            let state = SessionState::of(&session.borrow(), said);
            let out = self.first(session, &begun, said, false, &state).await;
            if out.result.is_err() {
                session.borrow_mut().phase = TransactionState::Idle;
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
        out: Result<base::protocol::ServerReply, SendError>,
    ) -> StatementResponse {
        let mut s = session.borrow_mut();
        s.phase = TransactionState::Idle;
        s.begun = None;
        match out {
            Ok(reply) => {
                if reply.transaction != TransactionState::Idle {
                    t.slot.spoil();
                }
                let ServerOutcome::Done(mark) = reply.outcome else {
                    return told(Err(StatementError::outcome_unknown(ErrorKind::OutcomeUnknown)), None);
                };
                if let Some(p) = reply.position.filter(|_| t.wrote) {
                    s.own = s.own.max(p);
                }
                StatementResponse { rows: reply.rows, ..told(Ok(mark), reply.position) }
            }
            Err(miss) => {
                t.slot.spoil();
                // What wrote nothing has nothing that could be kept.
                let certain = !t.wrote || matches!(miss, SendError::NotRun(_));
                bump(if certain { &self.tally.refused } else { &self.tally.unknown });
                let kind = if certain { ErrorKind::TransactionLost } else { ErrorKind::OutcomeUnknown };
                let kept = if certain { WriteOutcome::NotCommitted } else { WriteOutcome::Unknown };
                told(Err(StatementError { outcome: kept, ..StatementError::not_committed(kind) }), None)
            }
        }
    }
}
