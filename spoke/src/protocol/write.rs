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
    /// A single write. It is sent again only where it surely was not run; once its bytes may have left and no answer came,
    /// what became of it can't be told.
    pub(super) async fn protocol_write(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        mut statement: Once,
    ) -> StatementResponse {
        increment(&self.counters.writes);
        let name = session.borrow().database.clone();
        let no = |kind: ErrorKind| response(Err(StatementError::not_committed(kind)), None);
        let (gate, key, due, last) = match self.admit_statement(&name).await {
            Ok(e) => e,
            Err(k) => return no(k),
        };
        let state = RequiredState::for_statement(&session.borrow(), statement.statement());
        let copy = self.router.disabled.resend.then(|| statement.statement().clone());
        loop {
            let kind = match self.acquire_primary_slot(&gate.group, due).await {
                Err(k) => k,
                Ok((mut slot, _)) => match self.send_once(&mut slot, &key, statement, &state, due).await {
                    Ok(reply) => {
                        let ServerOutcome::Done(mark) = reply.outcome else { return no(ErrorKind::ServerFailed) };
                        if let Some(p) = reply.position {
                            let mut s = session.borrow_mut();
                            s.last_commit = s.last_commit.max(p);
                        }
                        return StatementResponse { rows: reply.rows, ..response(Ok(mark), reply.position) };
                    }
                    Err(OnceAttemptError::NotRun(k, back)) => {
                        statement = back;
                        k
                    }
                    Err(OnceAttemptError::Failed(k)) => return response(Err(StatementError::outcome_unknown(k)), None),
                    Err(OnceAttemptError::Unknown) => {
                        if let Some(said) = copy {
                            return Box::pin(self.protocol_write(session, Once::new(said))).await;
                        }
                        increment(&self.counters.unknown);
                        return response(Err(StatementError::outcome_unknown(ErrorKind::OutcomeUnknown)), None);
                    }
                },
            };
            if self.env.now() >= last {
                increment(&self.counters.refused);
                return no(kind);
            }
            increment(&self.counters.retried);
            self.wait_for_change().await;
        }
    }

    /// A connection to the leader, under a leave that stands.
    pub(super) async fn acquire_primary_slot(
        &self,
        group: &str,
        due: std::time::Duration,
    ) -> Result<(Slot, Target), ErrorKind> {
        let target = self.router.route_to_primary(group)?;
        let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
        let slot = pool.acquire(due).await?;
        if !self.router.holds_lease(&target) || !self.router.is_usable(&target) {
            return Err(ErrorKind::NoPrimary);
        }
        Ok((slot, target))
    }
}
