//! Transactions of a session. A transaction is opened at a server with its first statement, not with its BEGIN.

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

/// A transaction that is open at a server, on a connection that it keeps until its end.
pub struct ProtocolTransaction {
    slot: Slot,
    list_key: ListKey,
    route: MatchedRoute,
    has_writes: bool,
    /// Ends the transaction when it has been idle for too long.
    idle_timer: Option<TaskGuard>,
}

impl ExecutionContext {
    /// Rolls a transaction back at its server. The connection is closed unless the server confirms the rollback.
    pub async fn abort_transaction(&self, mut transaction: ProtocolTransaction) {
        let deadline = self.env.now() + self.router.bounds.call_timeout();
        let result = transaction.slot.execute(&Statement::internal(StatementKind::Rollback), None, deadline).await;
        if !matches!(
            &result,
            Ok(reply) if reply.transaction == TransactionState::Idle && matches!(reply.outcome, ServerOutcome::Executed(_))
        ) {
            transaction.slot.taint();
        }
    }

    /// Ends the transaction if no statement arrives within the idle timeout.
    pub(super) fn start_protocol_idle_timer(self: &Rc<Self>, session: &Rc<RefCell<SessionData>>) {
        let (_, idle_timeout) = self.router.default_timeouts();
        let (context, weak_session) = (self.clone(), Rc::downgrade(session));
        let Some(transaction) = &mut session.borrow_mut().transaction else { return };
        transaction.idle_timer = Some(self.env.spawn(async move {
            context.env.sleep(idle_timeout).await;
            let Some(session) = weak_session.upgrade() else { return };
            let transaction = {
                let mut session = session.borrow_mut();
                session.transaction_state = TransactionState::Failed;
                session.ended_by_node = true;
                session.begin = None;
                session.transaction.take()
            };
            if let Some(mut transaction) = transaction {
                if let Some(timer) = transaction.idle_timer.take() {
                    // This is the running task itself; dropping its guard would cancel it.
                    timer.detach();
                }
                context.abort_transaction(transaction).await;
            }
        }));
    }

    /// Executes a statement in the open transaction. The first one opens the transaction at a server.
    pub(super) async fn protocol_statement_in_transaction(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        statement: &Statement,
        is_write: bool,
    ) -> StatementResponse {
        let open = session.borrow_mut().transaction.take();
        let state = RequiredState::for_statement(&session.borrow(), statement);
        let (mut transaction, deadline) = match open {
            Some(mut transaction) => {
                transaction.idle_timer = None;
                let (statement_timeout, _) = self.timeouts(&transaction.route);
                let deadline = self.env.now() + statement_timeout;
                (transaction, deadline)
            }
            None => {
                let begin = session.borrow().begin.clone();
                let Some(begin) = begin else {
                    return self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder));
                };
                return self.open_and_execute(session, &begin, statement, is_write, &state).await;
            }
        };
        transaction.has_writes |= is_write;
        let deadline = self.response_deadline(&transaction.route, deadline);
        let result = self
            .send_once(&mut transaction.slot, &transaction.list_key, Once::new(statement.clone()), &state, deadline)
            .await;
        self.finish_statement(session, transaction, result.map_err(AttemptError::from))
    }

    /// The deadline of a statement inside a transaction: at most twice the route's target latency. Nothing of a
    /// transaction is stored before its commit, so the client may repeat all of it, and should be able to do so early.
    fn response_deadline(&self, route: &MatchedRoute, deadline: Duration) -> Duration {
        route.target_latency.map_or(deadline, |latency| deadline.min(self.env.now() + latency * 2))
    }

    fn finish_statement(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        transaction: ProtocolTransaction,
        result: Result<base::protocol::ServerReply, AttemptError>,
    ) -> StatementResponse {
        match result {
            Ok(reply) => {
                let ServerOutcome::Executed(tag) = reply.outcome else {
                    return self.fail(session, StatementError::not_committed(ErrorKind::TransactionLost));
                };
                session.borrow_mut().transaction = Some(transaction);
                self.start_protocol_idle_timer(session);
                StatementResponse { rows: reply.rows, ..response(Ok(tag), reply.position) }
            }
            Err(_) => {
                // Its COMMIT was never sent: whatever the outcome of this statement, nothing of the transaction is
                // stored.
                session.borrow_mut().transaction = Some(transaction);
                increment(&self.counters.refused);
                self.fail(session, StatementError::not_committed(ErrorKind::TransactionLost))
            }
        }
    }

    /// Opens the transaction at a server and executes its first statement. Both are repeated elsewhere as long as the
    /// statement was certainly not executed and the route's waiting time is not over.
    async fn open_and_execute(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        begin: &Statement,
        first_statement: &Statement,
        is_write: bool,
        state: &RequiredState,
    ) -> StatementResponse {
        let database = session.borrow().database.clone();
        let start = self.env.now();
        let route = match self.admitted_route(&database).await {
            Ok(route) => route,
            Err(kind) => return self.fail(session, StatementError::not_committed(kind)),
        };
        let (statement_timeout, max_wait) = self.timeouts(&route);
        let deadline = start + statement_timeout;
        let list_key = self.health.list_key(&database, "");
        let mut tried = Vec::new();
        let mut statement = Once::new(first_statement.clone());
        loop {
            let opened = self.open_transaction(session, &route, &list_key, begin, deadline, &mut tried).await;
            let kind = match opened {
                Err(kind) => kind,
                Ok(slot) => {
                    let mut transaction = ProtocolTransaction {
                        slot,
                        list_key: list_key.clone(),
                        route: route.clone(),
                        has_writes: is_write,
                        idle_timer: None,
                    };
                    let result = self
                        .send_once(
                            &mut transaction.slot,
                            &list_key,
                            statement,
                            state,
                            self.response_deadline(&route, deadline),
                        )
                        .await;
                    match result {
                        Err(OnceAttemptError::NotRun(kind, returned))
                            if first_statement.kind != StatementKind::Commit =>
                        {
                            statement = returned;
                            self.abort_transaction(transaction).await;
                            kind
                        }
                        result if first_statement.kind == StatementKind::Commit => {
                            return self.finish_protocol_commit(
                                session,
                                transaction,
                                result.map_err(AttemptError::from),
                            );
                        }
                        result => {
                            return self.finish_statement(session, transaction, result.map_err(AttemptError::from));
                        }
                    }
                }
            };
            if self.env.now() >= start + max_wait {
                increment(&self.counters.refused);
                return self.fail(session, StatementError::not_committed(kind));
            }
            increment(&self.counters.retried);
            self.wait_for_change().await;
        }
    }

    /// Opens the transaction on a connection to the primary; a read-only transaction, where the route allows it, on a
    /// connection to a server selected as for a read.
    async fn open_transaction(
        &self,
        session: &Rc<RefCell<SessionData>>,
        route: &MatchedRoute,
        list_key: &ListKey,
        begin: &Statement,
        deadline: Duration,
        tried: &mut Vec<String>,
    ) -> Result<Slot, ErrorKind> {
        let read_only = begin.kind == StatementKind::Begin { read_only: true };
        let last_commit = session.borrow().last_commit;
        let (mut slot, target) = if read_only && route.consistency != Consistency::Leader {
            let target = match self.router.route_confirmed_read(route, list_key, last_commit, tried) {
                RouteDecision::Send(target) => target,
                RouteDecision::Reject(kind) => {
                    tried.clear();
                    return Err(kind);
                }
            };
            tried.push(target.server.clone());
            let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
            let slot = pool.acquire(deadline).await?;
            let at_primary = matches!(target.condition, Condition::PrimaryLease { .. });
            if !self.router.is_usable(&target) || (at_primary && !self.router.holds_lease(&target)) {
                return Err(ErrorKind::NoPrimary);
            }
            (slot, target)
        } else {
            self.acquire_primary_slot(&route.group, deadline).await?
        };
        let state = RequiredState::for_statement(&session.borrow(), begin);
        let repeatable_begin = Repeatable::begin(begin).ok_or(ErrorKind::OutOfOrder)?;
        match self
            .send_repeatable(&mut slot, list_key, &repeatable_begin, &state, required_position(&target), deadline)
            .await
        {
            Ok(_) => Ok(slot),
            Err(AttemptError::NotRun(kind)) => {
                slot.taint();
                Err(kind)
            }
            Err(_) => {
                slot.taint();
                Err(ErrorKind::NoServer)
            }
        }
    }

    /// Commits the transaction. Only the server's own confirmation makes it a success.
    pub(super) async fn commit(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        statement: &Statement,
    ) -> StatementResponse {
        let open = session.borrow_mut().transaction.take();
        let Some(mut transaction) = open else {
            // The transaction is empty, yet the response to its COMMIT has to come from a server.
            let begin = session.borrow().begin.clone();
            let Some(begin) = begin else {
                return self.fail(session, StatementError::not_committed(ErrorKind::OutOfOrder));
            };
            let state = RequiredState::for_statement(&session.borrow(), statement);
            let response = self.open_and_execute(session, &begin, statement, false, &state).await;
            if response.result.is_err() {
                session.borrow_mut().transaction_state = TransactionState::Idle;
            }
            return response;
        };
        transaction.idle_timer = None;
        let (statement_timeout, _) = self.timeouts(&transaction.route);
        let deadline = self.env.now() + statement_timeout;
        let state = RequiredState::for_statement(&session.borrow(), statement);
        let result = self
            .send_once(&mut transaction.slot, &transaction.list_key, Once::new(statement.clone()), &state, deadline)
            .await;
        self.finish_protocol_commit(session, transaction, result.map_err(AttemptError::from))
    }

    fn finish_protocol_commit(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        mut transaction: ProtocolTransaction,
        result: Result<base::protocol::ServerReply, AttemptError>,
    ) -> StatementResponse {
        let mut session = session.borrow_mut();
        session.transaction_state = TransactionState::Idle;
        session.begin = None;
        match result {
            Ok(reply) => {
                if reply.transaction != TransactionState::Idle {
                    transaction.slot.taint();
                }
                let ServerOutcome::Executed(tag) = reply.outcome else {
                    return response(Err(StatementError::outcome_unknown(ErrorKind::OutcomeUnknown)), None);
                };
                if let Some(position) = reply.position.filter(|_| transaction.has_writes) {
                    session.last_commit = session.last_commit.max(position);
                }
                StatementResponse { rows: reply.rows, ..response(Ok(tag), reply.position) }
            }
            Err(error) => {
                transaction.slot.taint();
                // A transaction without writes has nothing that could have been committed.
                let certain = !transaction.has_writes || matches!(error, AttemptError::NotRun(_));
                increment(if certain { &self.counters.refused } else { &self.counters.unknown });
                let kind = if certain { ErrorKind::TransactionLost } else { ErrorKind::OutcomeUnknown };
                let outcome = if certain { WriteOutcome::NotCommitted } else { WriteOutcome::Unknown };
                response(Err(StatementError { outcome, ..StatementError::not_committed(kind) }), None)
            }
        }
    }
}
