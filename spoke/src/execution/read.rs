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
    /// A single read.
    pub async fn read(&self, store: &RefCell<SessionStore>, task: &PendingStatement<'_>) -> HttpResponse {
        increment(&self.counters.reads);
        self.execute_repeatable(store, task).await
    }

    /// A statement that changes nothing kept, and so may be sent again elsewhere.
    pub(super) async fn execute_repeatable(
        &self,
        store: &RefCell<SessionStore>,
        task: &PendingStatement<'_>,
    ) -> HttpResponse {
        let PendingStatement { route: gate, list_key: key, request: word, body, deadline: due } = *task;
        let token = store.borrow().token;
        let (dress, state) = self.session_state(store, &gate.name);
        let mut tried: Vec<String> = Vec::new();
        let mut last = ErrorKind::NoServer;
        while tried.len() <= super::ATTEMPT_LIMIT && self.env.now() < due {
            if !tried.is_empty() {
                increment(&self.counters.retried);
            }
            let target = match self.router.route_read(gate, key, token, &tried) {
                RouteDecision::Send(t) => t,
                RouteDecision::Reject(k) => {
                    return edge::error_response(if tried.is_empty() { k } else { last }, "", None);
                }
            };
            let Some(pool) = self.pools.get(&target.server) else {
                tried.push(target.server);
                continue;
            };
            let mut slot = match pool.acquire(due).await {
                Ok(s) => s,
                Err(k @ (ErrorKind::Overloaded | ErrorKind::DeadlineExceeded)) => {
                    return edge::error_response(k, "", None);
                }
                Err(k) => {
                    last = k;
                    tried.push(target.server);
                    continue;
                }
            };
            let dressed = self.apply_session_state(&mut slot, &dress, &state, due).await.is_ok();
            // Time was spent in the inbox: what the send rests on is looked at anew.
            if !dressed
                || !self.router.is_valid(&target)
                || !self.router.is_usable(&target)
                || self.router.check_continuation().is_err()
            {
                last = ErrorKind::NoServer;
                tried.push(target.server);
                continue;
            }
            let asked = self.env.now();
            let head = [(client::ATTEMPT_ID_HEADER, word.attempt_id.to_string())];
            let Ok(out) = self.send(&mut slot, &target, word.verb, &head, body.clone(), due).await else {
                self.health.record(key, &target.server, pick::Outcome::Error, self.env.now() - asked);
                last = ErrorKind::ServerFailed;
                tried.push(target.server);
                continue;
            };
            let signs = self.record_response(key, &slot, &out, asked);
            if signs.not_executed
                || signs.throttled
                || signs.failed
                || !self.router.is_valid(&target)
                || !self.router.is_satisfied_by(&target, &signs)
            {
                last = ErrorKind::ServerFailed;
                tried.push(target.server);
                continue;
            }
            if matches!(word.verb, Verb::Set | Verb::Prepare) && out.status < 300 {
                let count = dress.statements + 1;
                let id = store.borrow().id;
                slot.set_state_owner(StateOwner { session: id, database: gate.name.clone(), statements: count });
            }
            drop(slot);
            return self.client_response(out, &target.server, token);
        }
        let kind = if self.env.now() >= due { ErrorKind::DeadlineExceeded } else { last };
        edge::error_response(kind, "", None)
    }
}
