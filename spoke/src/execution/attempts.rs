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
/// The largest answer that is kept to be given again.
const MAX_KEPT_BODY_BYTES: usize = 4096;

enum AttemptState {
    InProgress,
    Done(HttpResponse),
}

/// The attempts that callers named and that took effect here, or may have; the newest few thousand.
#[derive(Default)]
pub struct Attempts {
    by_id: RefCell<BTreeMap<String, (u64, AttemptState)>>,
    order: RefCell<VecDeque<String>>,
}

impl Attempts {
    /// Claims an attempt, whose statement is told by a sum; an answer if it is not to be carried out (again).
    pub fn claim(&self, send: &str, sum: u64) -> Option<HttpResponse> {
        let mut map = self.by_id.borrow_mut();
        match map.get(send) {
            None => {}
            Some((s, _)) if *s != sum => {
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
            Some((_, AttemptState::Done(out))) => return Some(out.clone()),
        }
        map.insert(send.into(), (sum, AttemptState::InProgress));
        let mut order = self.order.borrow_mut();
        order.push_back(send.into());
        if order.len() > MAX_KEPT_ATTEMPTS {
            // One under way is never forgotten: it could then be made a second time.
            let ended = order.iter().position(|s| !matches!(map.get(s), Some((_, AttemptState::InProgress))));
            if let Some(old) = ended.and_then(|at| order.remove(at)) {
                map.remove(&old);
            }
        }
        None
    }

    /// Notes how an attempt ended; one of which nothing is kept may be made again.
    pub fn finish(&self, send: &str, out: &HttpResponse) {
        let mut map = self.by_id.borrow_mut();
        let Some((_, state)) = map.get_mut(send) else { return };
        let kept = out.header(client::WRITE_OUTCOME_HEADER);
        if kept == Some("no") {
            map.remove(send);
            self.order.borrow_mut().retain(|s| s != send);
            return;
        }
        let long = out.body.len() > MAX_KEPT_BODY_BYTES;
        *state = AttemptState::Done(match long {
            true => edge::error_response(
                ErrorKind::OutOfOrder,
                "this attempt was kept; its answer is gone",
                Some(WriteOutcome::Committed),
            ),
            false => out.clone(),
        });
    }
}

fn statement_hash(name: &str, body: &Bytes) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut h = DefaultHasher::new();
    (name, &body[..]).hash(&mut h);
    h.finish()
}

impl ExecutionContext {
    /// A single write of an attempt that its caller named: seen a second time at this node, it is answered as the first
    /// time and not carried out again.
    pub(super) async fn write_with_attempt_id(
        &self,
        store: &RefCell<SessionStore>,
        task: &PendingStatement<'_>,
    ) -> HttpResponse {
        if self.router.disabled.no_sends {
            return self.write(store, task).await;
        }
        let send = task.request.attempt_id;
        if let Some(out) = self.attempts.claim(send, statement_hash(task.request.database, task.body)) {
            if let Some(t) = out.header(client::TOKEN_HEADER).and_then(|t| t.parse().ok()) {
                store.borrow_mut().token.merge(t);
            }
            return out;
        }
        let out = self.write(store, task).await;
        self.attempts.finish(send, &out);
        out
    }
}
