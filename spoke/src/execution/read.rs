//! Single reads over HTTP.

use std::cell::RefCell;

use base::{
    ErrorKind,
    edge::{
        self,
        client::{self, Verb},
    },
    http::HttpResponse,
};

use super::{ExecutionContext, PendingStatement, increment, session::SessionStore};
use crate::{pool::StateOwner, routing::RouteDecision};

impl ExecutionContext {
    /// Executes a single read.
    pub async fn read(&self, store: &RefCell<SessionStore>, statement: &PendingStatement<'_>) -> HttpResponse {
        increment(&self.counters.reads);
        self.execute_repeatable(store, statement).await
    }

    /// Executes a statement that changes no stored data and may therefore be retried on another server.
    pub(super) async fn execute_repeatable(
        &self,
        store: &RefCell<SessionStore>,
        statement: &PendingStatement<'_>,
    ) -> HttpResponse {
        let PendingStatement { route, list_key, request, body, deadline } = *statement;
        let token = store.borrow().token;
        let (owner, state) = self.session_state(store, &route.name);
        let mut tried: Vec<String> = Vec::new();
        let mut last_error = ErrorKind::NoServer;
        while tried.len() <= super::ATTEMPT_LIMIT && self.env.now() < deadline {
            if !tried.is_empty() {
                increment(&self.counters.retried);
            }
            let target = match self.router.route_read(route, list_key, token, &tried) {
                RouteDecision::Send(target) => target,
                RouteDecision::Reject(kind) => {
                    return edge::error_response(if tried.is_empty() { kind } else { last_error }, "", None);
                }
            };
            let Some(pool) = self.pools.get(&target.server) else {
                tried.push(target.server);
                continue;
            };
            let mut slot = match pool.acquire(deadline).await {
                Ok(slot) => slot,
                Err(kind @ (ErrorKind::Overloaded | ErrorKind::DeadlineExceeded)) => {
                    return edge::error_response(kind, "", None);
                }
                Err(kind) => {
                    last_error = kind;
                    tried.push(target.server);
                    continue;
                }
            };
            let applied = self.apply_session_state(&mut slot, &owner, &state, deadline).await.is_ok();
            // Time passed while waiting for the connection, so the target's condition is checked again.
            if !applied
                || !self.router.is_valid(&target)
                || !self.router.is_usable(&target)
                || self.router.check_continuation().is_err()
            {
                last_error = ErrorKind::NoServer;
                tried.push(target.server);
                continue;
            }
            let requested_at = self.env.now();
            let headers = [(client::ATTEMPT_ID_HEADER, request.attempt_id.to_string())];
            let Ok(response) = self.send(&mut slot, &target, request.verb, &headers, body.clone(), deadline).await
            else {
                self.health.record(list_key, &target.server, pick::Outcome::Error, self.env.now() - requested_at);
                last_error = ErrorKind::ServerFailed;
                tried.push(target.server);
                continue;
            };
            let metadata = self.record_response(list_key, &slot, &response, requested_at);
            if metadata.not_executed
                || metadata.throttled
                || metadata.failed
                || !self.router.is_valid(&target)
                || !self.router.is_satisfied_by(&target, &metadata)
            {
                last_error = ErrorKind::ServerFailed;
                tried.push(target.server);
                continue;
            }
            if matches!(request.verb, Verb::Set | Verb::Prepare) && response.status < 300 {
                let statements = owner.statements + 1;
                let session = store.borrow().id;
                slot.set_state_owner(StateOwner { session, database: route.name.clone(), statements });
            }
            drop(slot);
            return self.client_response(response, &target.server, token);
        }
        let kind = if self.env.now() >= deadline { ErrorKind::DeadlineExceeded } else { last_error };
        edge::error_response(kind, "", None)
    }
}
