//! Single writes over HTTP, and the confirmation of commits by a second copy.

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
    /// Acquires a connection to the primary with the session's state applied, under a valid lease.
    ///
    /// # Errors
    /// `Overloaded` and `DeadlineExceeded` at once; after the last attempt, the reason why it failed.
    pub(super) async fn acquire_primary(
        &self,
        store: &RefCell<SessionStore>,
        statement: &PendingStatement<'_>,
    ) -> Result<(Slot, Target), ErrorKind> {
        let (owner, state) = self.session_state(store, &statement.route.name);
        let mut last_error = ErrorKind::NoPrimary;
        for _ in 0..super::ATTEMPT_LIMIT {
            if self.env.now() >= statement.deadline {
                return Err(ErrorKind::DeadlineExceeded);
            }
            let target = match self.router.route_write(statement.route) {
                RouteDecision::Send(target) => target,
                RouteDecision::Reject(kind) => return Err(kind),
            };
            let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
            let mut slot = match pool.acquire(statement.deadline).await {
                Ok(slot) => slot,
                Err(kind @ (ErrorKind::Overloaded | ErrorKind::DeadlineExceeded)) => return Err(kind),
                Err(kind) => {
                    last_error = kind;
                    continue;
                }
            };
            if self.apply_session_state(&mut slot, &owner, &state, statement.deadline).await.is_err() {
                last_error = ErrorKind::NoServer;
                continue;
            }
            // Time passed while waiting for the connection, so the target's condition is checked again.
            if self.router.is_valid(&target)
                && self.router.is_usable(&target)
                && self.router.check_continuation().is_ok()
            {
                return Ok((slot, target));
            }
            last_error = ErrorKind::NoPrimary;
        }
        Err(last_error)
    }

    /// Executes a single write, which is committed on its own or not at all.
    pub async fn write(&self, store: &RefCell<SessionStore>, statement: &PendingStatement<'_>) -> HttpResponse {
        let PendingStatement { route: _, list_key, request, body, deadline } = *statement;
        increment(&self.counters.writes);
        let not_committed = |kind: ErrorKind| edge::error_response(kind, "", Some(WriteOutcome::NotCommitted));
        for attempt in 0..super::ATTEMPT_LIMIT {
            if attempt > 0 {
                increment(&self.counters.retried);
            }
            let (mut slot, target) = match self.acquire_primary(store, statement).await {
                Ok(acquired) => acquired,
                Err(kind) => return not_committed(kind),
            };
            let requested_at = self.env.now();
            let headers = [
                (client::ATTEMPT_ID_HEADER, request.attempt_id.to_string()),
                (backend::EPOCH_HEADER, epoch_header(&target)),
            ];
            let response = match self.send(&mut slot, &target, request.verb, &headers, body.clone(), deadline).await {
                Ok(response) => response,
                Err(failure) => {
                    self.health.record(list_key, &target.server, pick::Outcome::Error, self.env.now() - requested_at);
                    drop(slot);
                    if matches!(failure, SendFailure::Call(CallError::NotSent)) || self.router.disabled.resend_writes {
                        continue;
                    }
                    // Its bytes may have been sent, so it must not be sent again.
                    return self.outcome_unknown_response(store);
                }
            };
            let metadata = self.record_response(list_key, &slot, &response, requested_at);
            drop(slot);
            if metadata.not_executed {
                return not_committed(if metadata.throttled { ErrorKind::Overloaded } else { ErrorKind::NoPrimary });
            }
            if metadata.failed {
                return self.outcome_unknown_response(store);
            }
            if response.status >= 300 {
                let token = store.borrow().token;
                return self
                    .client_response(response, &target.server, token)
                    .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted);
            }
            return self.confirm_commit(store, &target, metadata.position, response, deadline).await;
        }
        not_committed(ErrorKind::NoServer)
    }

    /// The response for a write whose outcome is unknown. From then on the session's token allows reads from the
    /// primary only.
    pub fn outcome_unknown_response(&self, store: &RefCell<SessionStore>) -> HttpResponse {
        store.borrow_mut().token.outcome_unknown = true;
        let token = store.borrow().token;
        edge::error_response(ErrorKind::OutcomeUnknown, "", Some(WriteOutcome::Unknown))
            .with_header(client::TOKEN_HEADER, token)
    }

    /// Acknowledges a commit once a second server holds it, under the lease that it was sent under; otherwise reports
    /// an unknown outcome.
    pub async fn confirm_commit(
        &self,
        store: &RefCell<SessionStore>,
        target: &Target,
        position: Option<Position>,
        response: HttpResponse,
        deadline: Duration,
    ) -> HttpResponse {
        let Some(position) = position else { return self.outcome_unknown_response(store) };
        let second_copy = self.health.position_changed.wait_until(|| {
            if self.router.has_second_copy(target, position, false) {
                return Some(true);
            }
            (!self.router.is_valid(target) || !self.router.is_confirmed()).then_some(false)
        });
        // The nearest replica is read first, and all replicas if it does not show the commit soon.
        let nearest_only = self.router.bounds.sampling_interval() / 5;
        let mut confirmed = self.env.timeout(nearest_only, second_copy).await;
        if confirmed.is_err() {
            let second_copy = self.health.position_changed.wait_until(|| {
                if self.router.has_second_copy(target, position, true) {
                    return Some(true);
                }
                (!self.router.is_valid(target)).then_some(false)
            });
            confirmed = self.env.timeout(deadline.saturating_sub(self.env.now()), second_copy).await;
        }
        // The lease is checked last: an election held in the meantime may have missed this commit.
        if !matches!(confirmed, Ok(true)) || !self.router.is_valid(target) || !self.router.is_confirmed() {
            return self.outcome_unknown_response(store);
        }
        store.borrow_mut().token.merge(Token { read_floor: position, outcome_unknown: false });
        let token = store.borrow().token;
        self.client_response(response, &target.server, token)
            .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::Committed)
    }
}

/// The epoch that a statement is sent under, which the server compares with its own; empty without a primary lease.
pub fn epoch_header(target: &Target) -> String {
    match target.condition {
        crate::routing::Condition::PrimaryLease { epoch } => epoch.to_string(),
        _ => String::new(),
    }
}
