//! The attempts that this node remembers, so that a write is not executed twice under the same attempt id.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
};

use base::{
    ErrorKind,
    edge::{self, client},
    error::WriteOutcome,
    http::HttpResponse,
};
use bytes::Bytes;

use super::{ExecutionContext, PendingStatement, session::SessionStore};

/// How many attempts are remembered.
const MAX_KEPT_ATTEMPTS: usize = 4096;
/// The largest response body that is kept to be returned again.
const MAX_KEPT_BODY_BYTES: usize = 4096;

enum AttemptState {
    InProgress,
    Done(HttpResponse),
}

/// The newest attempts with an id from the client that took effect on this node, or may have.
#[derive(Default)]
pub struct Attempts {
    /// The hash of the statement and the state of its attempt.
    by_id: RefCell<BTreeMap<String, (u64, AttemptState)>>,
    order: RefCell<VecDeque<String>>,
}

impl Attempts {
    /// Claims an attempt id for the statement with this hash. Returns the response to give instead if the statement
    /// must not be executed (again).
    pub fn claim(&self, attempt_id: &str, hash: u64) -> Option<HttpResponse> {
        let mut by_id = self.by_id.borrow_mut();
        match by_id.get(attempt_id) {
            None => {}
            Some((known_hash, _)) if *known_hash != hash => {
                return Some(edge::error_response(
                    ErrorKind::OutOfOrder,
                    "this id was used for another statement",
                    Some(WriteOutcome::NotCommitted),
                ));
            }
            Some((_, AttemptState::InProgress)) => {
                return Some(edge::error_response(
                    ErrorKind::OutcomeUnknown,
                    "this attempt is under way",
                    Some(WriteOutcome::Unknown),
                ));
            }
            Some((_, AttemptState::Done(response))) => return Some(response.clone()),
        }
        by_id.insert(attempt_id.into(), (hash, AttemptState::InProgress));
        let mut order = self.order.borrow_mut();
        order.push_back(attempt_id.into());
        if order.len() > MAX_KEPT_ATTEMPTS {
            // An attempt in progress is never removed: its statement could then be executed a second time.
            let finished = order.iter().position(|id| !matches!(by_id.get(id), Some((_, AttemptState::InProgress))));
            if let Some(oldest) = finished.and_then(|index| order.remove(index)) {
                by_id.remove(&oldest);
            }
        }
        None
    }

    /// Records the response of an attempt. An attempt that was not committed is removed and may be made again.
    pub fn finish(&self, attempt_id: &str, response: &HttpResponse) {
        let mut by_id = self.by_id.borrow_mut();
        let Some((_, state)) = by_id.get_mut(attempt_id) else { return };
        let outcome = response.header(client::WRITE_OUTCOME_HEADER);
        if outcome == Some("no") {
            by_id.remove(attempt_id);
            self.order.borrow_mut().retain(|id| id != attempt_id);
            return;
        }
        let too_long = response.body.len() > MAX_KEPT_BODY_BYTES;
        *state = AttemptState::Done(match too_long {
            true => edge::error_response(
                ErrorKind::OutOfOrder,
                "this attempt was kept; its answer is gone",
                Some(WriteOutcome::Committed),
            ),
            false => response.clone(),
        });
    }
}

fn statement_hash(database: &str, body: &Bytes) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (database, &body[..]).hash(&mut hasher);
    hasher.finish()
}

impl ExecutionContext {
    /// Executes a single write whose attempt id the client chose. A repeated attempt at this node gets the first
    /// attempt's response and is not executed again.
    pub(super) async fn write_with_attempt_id(
        &self,
        store: &RefCell<SessionStore>,
        statement: &PendingStatement<'_>,
    ) -> HttpResponse {
        if self.router.disabled.no_attempt_ids {
            return self.write(store, statement).await;
        }
        let attempt_id = statement.request.attempt_id;
        if let Some(response) =
            self.attempts.claim(attempt_id, statement_hash(statement.request.database, statement.body))
        {
            if let Some(token) = response.header(client::TOKEN_HEADER).and_then(|t| t.parse().ok()) {
                store.borrow_mut().token.merge(token);
            }
            return response;
        }
        let response = self.write(store, statement).await;
        self.attempts.finish(attempt_id, &response);
        response
    }
}
