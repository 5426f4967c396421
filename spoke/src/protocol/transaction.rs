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
    attempt::{AttemptError, OnceAttemptError, RequiredState},
    client_session::{SessionData, response},
    read::required_position,
};
use crate::{
    execution::{ExecutionContext, increment},
    health::ListKey,
    pool::Slot,
    routing::{Condition, MatchedRoute, RouteDecision},
};

/// A transaction that was opened at a server, on a connection of its own.
pub struct ProtocolTransaction {
    slot: Slot,
    list_key: ListKey,
    route: MatchedRoute,
    has_writes: bool,
    idle_timer: Option<TaskGuard>,
}

impl ExecutionContext {
    /// Rolls back at the server; a connection that doesn't show it did is closed.
    pub async fn abort_transaction(&self, mut t: ProtocolTransaction) {
        let due = self.env.now() + self.router.bounds.call_timeout();
        let out = t.slot.execute(&Statement::internal(StatementKind::Rollback), None, due).await;
        if !matches!(&out, Ok(r) if r.transaction == TransactionState::Idle && matches!(r.outcome, ServerOutcome::Done(_)))
        {
            t.slot.taint();
        }
    }

    /// Ends the transaction if nothing comes within the operator's limit.
    pub(super) fn start_protocol_idle_timer(self: &Rc<Self>, session: &Rc<RefCell<SessionData>>) {
        let (_, idle) = self.router.default_timeouts();
        let (me, weak) = (self.clone(), Rc::downgrade(session));
        let Some(t) = &mut session.borrow_mut().transaction else { return };
        t.idle_timer = Some(self.env.spawn(async move {
            me.env.sleep(idle).await;
            let Some(session) = weak.upgrade() else { return };
            let t = {
                let mut s = session.borrow_mut();
                s.transaction_state = TransactionState::Failed;
                s.ended_by_node = true;
                s.begin = None;
                s.transaction.take()
            };
            if let Some(mut t) = t {
                if let Some(j) = t.idle_timer.take() {
                    // This very task: it must not end itself.
                    j.detach();
                }
                me.abort_transaction(t).await;
            }
        }));
    }

    /// A statement of an open transaction; the first one opens it at a server.
    pub(super) async fn protocol_statement_in_transaction(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        said: &Statement,
        writes: bool,
    ) -> StatementResponse {
        let held = session.borrow_mut().transaction.take();
        let state = RequiredState::for_statement(&session.borrow(), said);
        let (mut t, due) = match held {
            Some(mut t) => {
                t.idle_timer = None;
                let (most, _) = self.timeouts(&t.route);
                let due = self.env.now() + most;
                (t, due)
            }
            None => {
                let begun = session.borrow().begin.clone();
                let Some(begun) = begun else {
                    return self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder));
                };
                return self.open_and_execute(session, &begun, said, writes, &state).await;
            }
        };
        t.has_writes |= writes;
        let due = self.response_deadline(&t.route, due);
        let out = self.send_once(&mut t.slot, &t.list_key, Once::new(said.clone()), &state, due).await;
        self.finish_statement(session, t, out.map_err(AttemptError::from))
    }

    /// When an answer inside a transaction is given up on. Nothing of it is kept before its commit, so its caller may
    /// make it again whole, and had better soon.
    fn response_deadline(&self, gate: &MatchedRoute, due: Duration) -> Duration {
        gate.target_latency.map_or(due, |a| due.min(self.env.now() + a * 2))
    }

    fn finish_statement(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        t: ProtocolTransaction,
        out: Result<base::protocol::ServerReply, AttemptError>,
    ) -> StatementResponse {
        match out {
            Ok(reply) => {
                let ServerOutcome::Done(mark) = reply.outcome else {
                    return self.fail(session, StatementError::not_committed(ErrorKind::TransactionLost));
                };
                session.borrow_mut().transaction = Some(t);
                self.start_protocol_idle_timer(session);
                StatementResponse { rows: reply.rows, ..response(Ok(mark), reply.position) }
            }
            Err(_) => {
                // Its commit was never sent: whatever became of this statement, nothing of the transaction is kept.
                session.borrow_mut().transaction = Some(t);
                increment(&self.counters.refused);
                self.fail(session, StatementError::not_committed(ErrorKind::TransactionLost))
            }
        }
    }

    /// Opens the transaction and says its first statement; both again elsewhere while that was surely not run.
    async fn open_and_execute(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        begun: &Statement,
        said: &Statement,
        writes: bool,
        state: &RequiredState,
    ) -> StatementResponse {
        let name = session.borrow().database.clone();
        let start = self.env.now();
        let gate = match self.admitted_route(&name).await {
            Ok(g) => g,
            Err(k) => return self.fail(session, StatementError::not_committed(k)),
        };
        let (most, patience) = self.timeouts(&gate);
        let due = start + most;
        let key = self.health.list_key(&name, "");
        let mut tried = Vec::new();
        let mut statement = Once::new(said.clone());
        loop {
            let opened = self.open_transaction(session, &gate, &key, begun, due, &mut tried).await;
            let kind = match opened {
                Err(k) => k,
                Ok(slot) => {
                    let mut t = ProtocolTransaction {
                        slot,
                        list_key: key.clone(),
                        route: gate.clone(),
                        has_writes: writes,
                        idle_timer: None,
                    };
                    let out =
                        self.send_once(&mut t.slot, &key, statement, state, self.response_deadline(&gate, due)).await;
                    match out {
                        Err(OnceAttemptError::NotRun(k, back)) if said.kind != StatementKind::Commit => {
                            statement = back;
                            self.abort_transaction(t).await;
                            k
                        }
                        out if said.kind == StatementKind::Commit => {
                            return self.finish_protocol_commit(session, t, out.map_err(AttemptError::from));
                        }
                        out => return self.finish_statement(session, t, out.map_err(AttemptError::from)),
                    }
                }
            };
            if self.env.now() >= start + patience {
                increment(&self.counters.refused);
                return self.fail(session, StatementError::not_committed(kind));
            }
            increment(&self.counters.retried);
            self.wait_for_change().await;
        }
    }

    /// A connection on which the transaction was opened: at the leader, or where it only reads and the doorway allows it,
    /// where a read may go.
    async fn open_transaction(
        &self,
        session: &Rc<RefCell<SessionData>>,
        gate: &MatchedRoute,
        key: &ListKey,
        begun: &Statement,
        due: Duration,
        tried: &mut Vec<String>,
    ) -> Result<Slot, ErrorKind> {
        let reads = begun.kind == StatementKind::Begin { reads: true };
        let own = session.borrow().last_commit;
        let (mut slot, target) = if reads && gate.consistency != Consistency::Leader {
            let target = match self.router.route_confirmed_read(gate, key, own, tried) {
                RouteDecision::Send(t) => t,
                RouteDecision::Reject(k) => {
                    tried.clear();
                    return Err(k);
                }
            };
            tried.push(target.server.clone());
            let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
            let slot = pool.acquire(due).await?;
            let lead = matches!(target.condition, Condition::PrimaryLease { .. });
            if !self.router.is_usable(&target) || (lead && !self.router.holds_lease(&target)) {
                return Err(ErrorKind::NoPrimary);
            }
            (slot, target)
        } else {
            self.acquire_primary_slot(&gate.group, due).await?
        };
        let state = RequiredState::for_statement(&session.borrow(), begun);
        let opening = Repeatable::begin(begun).ok_or(ErrorKind::OutOfOrder)?;
        match self.send_repeatable(&mut slot, key, &opening, &state, required_position(&target), due).await {
            Ok(_) => Ok(slot),
            Err(AttemptError::NotRun(k)) => {
                slot.taint();
                Err(k)
            }
            Err(_) => {
                slot.taint();
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
        let held = session.borrow_mut().transaction.take();
        let Some(mut t) = held else {
            // Nothing was said in it; even so the answer has to be a server's.
            let begun = session.borrow().begin.clone();
            let Some(begun) = begun else {
                return self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder));
            };
            let state = RequiredState::for_statement(&session.borrow(), said);
            let out = self.open_and_execute(session, &begun, said, false, &state).await;
            if out.result.is_err() {
                session.borrow_mut().transaction_state = TransactionState::Idle;
            }
            return out;
        };
        t.idle_timer = None;
        let (most, _) = self.timeouts(&t.route);
        let due = self.env.now() + most;
        let state = RequiredState::for_statement(&session.borrow(), said);
        let out = self.send_once(&mut t.slot, &t.list_key, Once::new(said.clone()), &state, due).await;
        self.finish_protocol_commit(session, t, out.map_err(AttemptError::from))
    }

    fn finish_protocol_commit(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        mut t: ProtocolTransaction,
        out: Result<base::protocol::ServerReply, AttemptError>,
    ) -> StatementResponse {
        let mut s = session.borrow_mut();
        s.transaction_state = TransactionState::Idle;
        s.begin = None;
        match out {
            Ok(reply) => {
                if reply.transaction != TransactionState::Idle {
                    t.slot.taint();
                }
                let ServerOutcome::Done(mark) = reply.outcome else {
                    return response(Err(StatementError::outcome_unknown(ErrorKind::OutcomeUnknown)), None);
                };
                if let Some(p) = reply.position.filter(|_| t.has_writes) {
                    s.last_commit = s.last_commit.max(p);
                }
                StatementResponse { rows: reply.rows, ..response(Ok(mark), reply.position) }
            }
            Err(miss) => {
                t.slot.taint();
                // What wrote nothing has nothing that could be kept.
                let certain = !t.has_writes || matches!(miss, AttemptError::NotRun(_));
                increment(if certain { &self.counters.refused } else { &self.counters.unknown });
                let kind = if certain { ErrorKind::TransactionLost } else { ErrorKind::OutcomeUnknown };
                let kept = if certain { WriteOutcome::NotCommitted } else { WriteOutcome::Unknown };
                response(Err(StatementError { outcome: kept, ..StatementError::not_committed(kind) }), None)
            }
        }
    }
}
