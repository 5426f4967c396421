use std::{cell::RefCell, rc::Rc};

use base::{
    ErrorKind,
    protocol::{Once, ServerOutcome, StatementError, StatementResponse},
};

use super::{
    caller_session::{SessionData, told},
    send::{OnceError, SessionState},
};
use crate::{
    decide::Target,
    pool::Slot,
    work::{WorkContext, bump},
};

impl WorkContext {
    /// A single write. It is sent again only where it surely was not run; once its bytes may have left and no answer came,
    /// what became of it can't be told.
    pub(super) async fn write_talk(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        mut statement: Once,
    ) -> StatementResponse {
        bump(&self.tally.writes);
        let name = session.borrow().name.clone();
        let no = |kind: ErrorKind| told(Err(StatementError::not_committed(kind)), None);
        let (gate, key, due, last) = match self.entry(&name).await {
            Ok(e) => e,
            Err(k) => return no(k),
        };
        let state = SessionState::of(&session.borrow(), statement.statement());
        let copy = self.decider.disabled.resend.then(|| statement.statement().clone());
        loop {
            let kind = match self.lead_slot(&gate.group, due).await {
                Err(k) => k,
                Ok((mut slot, _)) => match self.send_once(&mut slot, &key, statement, &state, due).await {
                    Ok(reply) => {
                        let ServerOutcome::Done(mark) = reply.outcome else { return no(ErrorKind::ServerFailed) };
                        if let Some(p) = reply.position {
                            let mut s = session.borrow_mut();
                            s.own = s.own.max(p);
                        }
                        return StatementResponse { rows: reply.rows, ..told(Ok(mark), reply.position) };
                    }
                    Err(OnceError::NotRun(k, back)) => {
                        statement = back;
                        k
                    }
                    Err(OnceError::Failed(k)) => return told(Err(StatementError::outcome_unknown(k)), None),
                    Err(OnceError::Unknown) => {
                        if let Some(said) = copy {
                            return Box::pin(self.write_talk(session, Once::new(said))).await;
                        }
                        bump(&self.tally.unknown);
                        return told(Err(StatementError::outcome_unknown(ErrorKind::OutcomeUnknown)), None);
                    }
                },
            };
            if self.env.now() >= last {
                bump(&self.tally.refused);
                return no(kind);
            }
            bump(&self.tally.retried);
            self.pause().await;
        }
    }

    /// A connection to the leader, under a leave that stands.
    pub(super) async fn lead_slot(&self, group: &str, due: std::time::Duration) -> Result<(Slot, Target), ErrorKind> {
        let target = self.decider.lead(group)?;
        let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
        let slot = pool.get(due).await?;
        if !self.decider.leads(&target) || !self.decider.open(&target) {
            return Err(ErrorKind::NoPrimary);
        }
        Ok((slot, target))
    }
}
