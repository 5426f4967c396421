use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::{
        self, backend,
        client::{self, ClientRequest, Verb},
    },
    error::WriteOutcome,
    http::{CallError, HttpResponse},
};
use bytes::Bytes;

use super::{
    ExecutionContext, PendingStatement, SendFailure,
    session::{EndedTransaction, SessionStore, Transaction},
    write::epoch_header,
};
use crate::pool::StateOwner;

impl ExecutionContext {
    /// Opens a transaction on a connection of its own, at the leader.
    pub async fn begin(
        self: &Rc<Self>,
        store: &Rc<RefCell<SessionStore>>,
        task: &PendingStatement<'_>,
    ) -> HttpResponse {
        let PendingStatement { route: gate, list_key: key, request: word, body, deadline: due } = *task;
        let no = |k: ErrorKind| edge::error_response(k, "", Some(WriteOutcome::NotCommitted));
        for _ in 0..super::ATTEMPT_LIMIT {
            let (mut slot, target) = match self.acquire_primary(store, task).await {
                Ok(both) => both,
                Err(k) => return no(k),
            };
            let asked = self.env.now();
            let head = [
                (client::ATTEMPT_ID_HEADER, word.attempt_id.to_string()),
                (backend::EPOCH_HEADER, epoch_header(&target)),
            ];
            // Nothing is kept of a transaction that got no further than its opening.
            let Ok(out) = self.send(&mut slot, &target, Verb::Begin, &head, body.clone(), due).await else {
                self.health.record(key, &target.server, pick::Outcome::Error, self.env.now() - asked);
                continue;
            };
            let signs = self.record_response(key, &slot, &out, asked);
            if out.status >= 300 {
                slot.taint();
                if signs.not_executed || signs.failed {
                    return no(if signs.throttled { ErrorKind::Overloaded } else { ErrorKind::NoPrimary });
                }
                return self
                    .client_response(out, &target.server, store.borrow().token)
                    .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted);
            }
            let ret = self.client_response(out, &target.server, store.borrow().token);
            store.borrow_mut().transaction =
                Some(Transaction { slot, target, database: gate.name.clone(), idle_timer: None });
            self.start_idle_timer(store);
            return ret;
        }
        no(ErrorKind::NoServer)
    }

    /// Ends the transaction if nothing comes within the operator's limit.
    fn start_idle_timer(self: &Rc<Self>, store: &Rc<RefCell<SessionStore>>) {
        let (_, idle) = self.router.default_timeouts();
        let (me, weak) = (self.clone(), Rc::downgrade(store));
        let job = self.env.spawn(async move {
            me.env.sleep(idle).await;
            let Some(store) = weak.upgrade() else { return };
            let t = store.borrow_mut().transaction.take();
            if let Some(mut t) = t {
                if let Some(j) = t.idle_timer.take() {
                    // This very task: it must not end itself.
                    j.detach();
                }
                store.borrow_mut().ended = Some(EndedTransaction(ErrorKind::TransactionLost));
                me.roll_back(t).await;
            }
        });
        if let Some(t) = &mut store.borrow_mut().transaction {
            t.idle_timer = Some(job);
        }
    }

    /// A statement of an open transaction.
    pub async fn execute_in_transaction(
        self: &Rc<Self>,
        store: &Rc<RefCell<SessionStore>>,
        word: &ClientRequest<'_>,
        body: &Bytes,
        due: Duration,
    ) -> HttpResponse {
        let no = |k: ErrorKind, text: &str| edge::error_response(k, text, Some(WriteOutcome::NotCommitted));
        let Some(mut t) = store.borrow_mut().transaction.take() else { return no(ErrorKind::OutOfOrder, "") };
        t.idle_timer = None;
        let put = |t: Transaction, out: HttpResponse| {
            store.borrow_mut().transaction = Some(t);
            self.start_idle_timer(store);
            out
        };
        if t.database != word.database {
            return put(t, no(ErrorKind::OutOfOrder, "the open transaction is of another database"));
        }
        if word.verb == Verb::Begin {
            return put(t, no(ErrorKind::OutOfOrder, "a transaction is open"));
        }
        let sets = matches!(word.verb, Verb::Set | Verb::Prepare);
        if sets && !store.borrow().has_room(&t.database, body.len()) {
            return put(t, no(ErrorKind::Overloaded, "the session has too many values and prepared names"));
        }
        if word.verb == Verb::Rollback {
            let target = t.target.server.clone();
            self.roll_back(t).await;
            return HttpResponse::new(200, "{}")
                .with_header(client::SERVER_HEADER, target)
                .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted);
        }
        // A leader grant that ended, a place being emptied: nothing of it may be committed.
        let lost = !self.router.is_valid(&t.target) || !self.router.is_usable(&t.target);
        if lost || self.router.check_continuation().is_err() {
            let me = self.clone();
            self.env.spawn(async move { me.roll_back(t).await }).detach();
            return no(ErrorKind::TransactionLost, "the transaction can't go on; nothing of it is kept");
        }
        let key = self.health.list_key(word.database, word.label);
        let asked = self.env.now();
        let head = [
            (client::ATTEMPT_ID_HEADER, word.attempt_id.to_string()),
            (backend::EPOCH_HEADER, epoch_header(&t.target)),
        ];
        let out = self.send(&mut t.slot, &t.target, word.verb, &head, body.clone(), due).await;
        let out = match out {
            Ok(o) => o,
            Err(cut) => {
                self.health.record(&key, &t.target.server, pick::Outcome::Error, self.env.now() - asked);
                if word.verb == Verb::Commit && !matches!(cut, SendFailure::Call(CallError::NotSent)) {
                    return self.outcome_unknown_response(store);
                }
                return no(ErrorKind::TransactionLost, "the connection broke; nothing of the transaction is kept");
            }
        };
        let signs = self.record_response(&key, &t.slot, &out, asked);
        if word.verb == Verb::Commit {
            return self.finish_commit(store, t, signs, out, due).await;
        }
        if signs.failed || (word.verb == Verb::Read && !self.router.is_valid(&t.target)) {
            let me = self.clone();
            self.env.spawn(async move { me.roll_back(t).await }).detach();
            return no(ErrorKind::TransactionLost, "the server failed; nothing of the transaction is kept");
        }
        if sets && out.status < 300 {
            let (id, count) = {
                let s = store.borrow();
                (s.id, s.statements.get(&t.database).map_or(0, Vec::len))
            };
            self.record_session_statement(store, &t.database, word.verb, body);
            t.slot.set_state_owner(StateOwner { session: id, database: t.database.clone(), statements: count + 1 });
        }
        let ret = self.client_response(out, &t.target.server, store.borrow().token);
        put(t, ret)
    }

    async fn finish_commit(
        self: &Rc<Self>,
        store: &Rc<RefCell<SessionStore>>,
        mut t: Transaction,
        signs: backend::ResponseMetadata,
        out: HttpResponse,
        due: Duration,
    ) -> HttpResponse {
        if out.status < 300 {
            let target = t.target.clone();
            drop(t);
            return self.confirm_commit(store, &target, signs.position, out, due).await;
        }
        t.slot.taint();
        if signs.failed && !signs.not_executed {
            return self.outcome_unknown_response(store);
        }
        let token = store.borrow().token;
        self.client_response(out, &t.target.server, token)
            .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted)
    }
}
