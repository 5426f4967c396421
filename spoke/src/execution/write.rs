use std::{cell::RefCell, time::Duration};

use base::{
    ErrorKind,
    edge::{
        self, backend,
        client::{self, Token},
    },
    error::WriteOutcome,
    http::{CallError, HttpResponse},
    position::Position,
};

use super::{ExecutionContext, PendingStatement, SendFailure, increment, session::SessionStore};
use crate::{
    pool::Slot,
    routing::{RouteDecision, Target},
};

impl ExecutionContext {
    /// A connection to the leader that wears the session's state, under a grant that stands.
    pub(super) async fn acquire_primary(
        &self,
        store: &RefCell<SessionStore>,
        task: &PendingStatement<'_>,
    ) -> Result<(Slot, Target), ErrorKind> {
        let (dress, state) = self.session_state(store, &task.route.name);
        let mut last = ErrorKind::NoPrimary;
        for _ in 0..super::ATTEMPT_LIMIT {
            if self.env.now() >= task.deadline {
                return Err(ErrorKind::DeadlineExceeded);
            }
            let target = match self.router.route_write(task.route) {
                RouteDecision::Send(t) => t,
                RouteDecision::Reject(k) => return Err(k),
            };
            let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
            let mut slot = match pool.acquire(task.deadline).await {
                Ok(s) => s,
                Err(k @ (ErrorKind::Overloaded | ErrorKind::DeadlineExceeded)) => return Err(k),
                Err(k) => {
                    last = k;
                    continue;
                }
            };
            if self.apply_session_state(&mut slot, &dress, &state, task.deadline).await.is_err() {
                last = ErrorKind::NoServer;
                continue;
            }
            // Time was spent in the inbox: what the send rests on is looked at anew.
            if self.router.is_valid(&target)
                && self.router.is_usable(&target)
                && self.router.check_continuation().is_ok()
            {
                return Ok((slot, target));
            }
            last = ErrorKind::NoPrimary;
        }
        Err(last)
    }

    /// A single write, kept or not by itself.
    pub async fn write(&self, store: &RefCell<SessionStore>, task: &PendingStatement<'_>) -> HttpResponse {
        let PendingStatement { route: _, list_key: key, request: word, body, deadline: due } = *task;
        increment(&self.counters.writes);
        let no = |k: ErrorKind| edge::error_response(k, "", Some(WriteOutcome::NotCommitted));
        for turn in 0..super::ATTEMPT_LIMIT {
            if turn > 0 {
                increment(&self.counters.retried);
            }
            let (mut slot, target) = match self.acquire_primary(store, task).await {
                Ok(both) => both,
                Err(k) => return no(k),
            };
            let asked = self.env.now();
            let head = [
                (client::ATTEMPT_ID_HEADER, word.attempt_id.to_string()),
                (backend::EPOCH_HEADER, epoch_header(&target)),
            ];
            let out = match self.send(&mut slot, &target, word.verb, &head, body.clone(), due).await {
                Ok(o) => o,
                Err(cut) => {
                    self.health.record(key, &target.server, pick::Outcome::Error, self.env.now() - asked);
                    drop(slot);
                    if matches!(cut, SendFailure::Call(CallError::NotSent)) || self.router.disabled.resend {
                        continue;
                    }
                    // Its bytes may have left: it is never sent again.
                    return self.outcome_unknown_response(store);
                }
            };
            let signs = self.record_response(key, &slot, &out, asked);
            drop(slot);
            if signs.not_executed {
                return no(if signs.throttled { ErrorKind::Overloaded } else { ErrorKind::NoPrimary });
            }
            if signs.failed {
                return self.outcome_unknown_response(store);
            }
            if out.status >= 300 {
                let token = store.borrow().token;
                return self
                    .client_response(out, &target.server, token)
                    .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted);
            }
            return self.confirm_commit(store, &target, signs.position, out, due).await;
        }
        no(ErrorKind::NoServer)
    }

    /// Answers that what became of a write can't be told; from then on only the leader's word will do.
    pub fn outcome_unknown_response(&self, store: &RefCell<SessionStore>) -> HttpResponse {
        store.borrow_mut().token.outcome_unknown = true;
        let token = store.borrow().token;
        edge::error_response(ErrorKind::OutcomeUnknown, "", Some(WriteOutcome::Unknown))
            .with_header(client::TOKEN_HEADER, token)
    }

    /// Acknowledges a commit once a second server holds it, under the grant it was sent under.
    pub async fn confirm_commit(
        &self,
        store: &RefCell<SessionStore>,
        target: &Target,
        place: Option<Position>,
        out: HttpResponse,
        due: Duration,
    ) -> HttpResponse {
        let Some(place) = place else { return self.outcome_unknown_response(store) };
        let held = self.health.position_changed.wait_until(|| {
            if self.router.has_second_copy(target, place, false) {
                return Some(true);
            }
            (!self.router.is_valid(target) || !self.router.is_confirmed()).then_some(false)
        });
        // The nearest follower is looked at first; all of them if that brings nothing soon.
        let soon = self.router.bounds.sampling_interval() / 5;
        let mut ok = self.env.timeout(soon, held).await;
        if ok.is_err() {
            let held = self.health.position_changed.wait_until(|| {
                if self.router.has_second_copy(target, place, true) {
                    return Some(true);
                }
                (!self.router.is_valid(target)).then_some(false)
            });
            ok = self.env.timeout(due.saturating_sub(self.env.now()), held).await;
        }
        // The grant is looked at last: an election held since may not have seen this commit.
        if !matches!(ok, Ok(true)) || !self.router.is_valid(target) || !self.router.is_confirmed() {
            return self.outcome_unknown_response(store);
        }
        store.borrow_mut().token.merge(Token { read_floor: place, outcome_unknown: false });
        let token = store.borrow().token;
        self.client_response(out, &target.server, token)
            .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::Committed)
    }
}

/// The line a statement is sent under, for the server to compare with its own.
pub fn epoch_header(target: &Target) -> String {
    match target.condition {
        crate::routing::Condition::PrimaryLease { line } => line.to_string(),
        _ => String::new(),
    }
}
