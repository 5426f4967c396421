//! Single writes of a session.

use std::{cell::RefCell, rc::Rc};

use base::{
    ErrorKind,
    protocol::{Once, ServerOutcome, StatementError, StatementResponse},
};

use super::{
    attempt::{OnceAttemptError, RequiredState},
    client_session::{SessionData, response},
};
use crate::{
    execution::{ExecutionContext, increment},
    pool::Slot,
    routing::Target,
};

impl ExecutionContext {
    /// Executes a single write. It is sent again only if it was certainly not executed; once its bytes may have been
    /// sent and no response arrived, its outcome is unknown.
    pub(super) async fn protocol_write(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        mut statement: Once,
    ) -> StatementResponse {
        increment(&self.counters.writes);
        let database = session.borrow().database.clone();
        let not_committed = |kind: ErrorKind| response(Err(StatementError::not_committed(kind)), None);
        let (route, list_key, deadline, retry_until) = match self.admit_statement(&database).await {
            Ok(admitted) => admitted,
            Err(kind) => return not_committed(kind),
        };
        let state = RequiredState::for_statement(&session.borrow(), statement.statement());
        let copy = self.router.disabled.resend_writes.then(|| statement.statement().clone());
        loop {
            let kind = match self.acquire_primary_slot(&route.group, deadline).await {
                Err(kind) => kind,
                Ok((mut slot, _)) => match self.send_once(&mut slot, &list_key, statement, &state, deadline).await {
                    Ok(reply) => {
                        let ServerOutcome::Executed(tag) = reply.outcome else {
                            return not_committed(ErrorKind::ServerFailed);
                        };
                        if let Some(position) = reply.position {
                            let mut session = session.borrow_mut();
                            session.last_commit = session.last_commit.max(position);
                        }
                        return StatementResponse { rows: reply.rows, ..response(Ok(tag), reply.position) };
                    }
                    Err(OnceAttemptError::NotRun(kind, returned)) => {
                        statement = returned;
                        kind
                    }
                    Err(OnceAttemptError::Failed(kind)) => {
                        return response(Err(StatementError::outcome_unknown(kind)), None);
                    }
                    Err(OnceAttemptError::Unknown) => {
                        if let Some(copy) = copy {
                            return Box::pin(self.protocol_write(session, Once::new(copy))).await;
                        }
                        increment(&self.counters.unknown);
                        return response(Err(StatementError::outcome_unknown(ErrorKind::OutcomeUnknown)), None);
                    }
                },
            };
            if self.env.now() >= retry_until {
                increment(&self.counters.refused);
                return not_committed(kind);
            }
            increment(&self.counters.retried);
            self.wait_for_change().await;
        }
    }

    /// Acquires a connection to the primary of a group, under a valid lease.
    pub(super) async fn acquire_primary_slot(
        &self,
        group: &str,
        deadline: std::time::Duration,
    ) -> Result<(Slot, Target), ErrorKind> {
        let target = self.router.route_to_primary(group)?;
        let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
        let slot = pool.acquire(deadline).await?;
        if !self.router.holds_lease(&target) || !self.router.is_usable(&target) {
            return Err(ErrorKind::NoPrimary);
        }
        Ok((slot, target))
    }
}
