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
    Cut, Task, WorkContext,
    session::{Ended, Store, Trans},
    write::line,
};
use crate::pool::StateOwner;

impl WorkContext {
    /// Opens a transaction on a connection of its own, at the leader.
    pub async fn begin(self: &Rc<Self>, store: &Rc<RefCell<Store>>, task: &Task<'_>) -> HttpResponse {
        let Task { gate, key, word, body, due } = *task;
        let no = |k: ErrorKind| edge::error_response(k, "", Some(WriteOutcome::NotCommitted));
        for _ in 0..super::SENDS {
            let (mut slot, target) = match self.lead(store, task).await {
                Ok(both) => both,
                Err(k) => return no(k),
            };
            let asked = self.env.now();
            let head =
                [(client::ATTEMPT_ID_HEADER, word.attempt_id.to_string()), (backend::EPOCH_HEADER, line(&target))];
            // Nothing is kept of a transaction that got no further than its opening.
            let Ok(out) = self.send(&mut slot, &target, Verb::Begin, &head, body.clone(), due).await else {
                self.gauges.record(key, &target.server, pick::Outcome::Error, self.env.now() - asked);
                continue;
            };
            let signs = self.note(key, &slot, &out, asked);
            if out.status >= 300 {
                slot.spoil();
                if signs.not_executed || signs.failed {
                    return no(if signs.throttled { ErrorKind::Overloaded } else { ErrorKind::NoPrimary });
                }
                return self
                    .hand_on(out, &target.server, store.borrow().token)
                    .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted);
            }
            let ret = self.hand_on(out, &target.server, store.borrow().token);
            store.borrow_mut().trans = Some(Trans { slot, target, name: gate.name.clone(), idle: None });
            self.watch(store);
            return ret;
        }
        no(ErrorKind::NoServer)
    }

    /// Ends the transaction if nothing comes within the operator's limit.
    fn watch(self: &Rc<Self>, store: &Rc<RefCell<Store>>) {
        let (_, idle) = self.decider.limit();
        let (me, weak) = (self.clone(), Rc::downgrade(store));
        let job = self.env.spawn(async move {
            me.env.sleep(idle).await;
            let Some(store) = weak.upgrade() else { return };
            let t = store.borrow_mut().trans.take();
            if let Some(mut t) = t {
                if let Some(j) = t.idle.take() {
                    // This very task: it must not end itself.
                    j.detach();
                }
                store.borrow_mut().ended = Some(Ended(ErrorKind::TransactionLost));
                me.roll_back(t).await;
            }
        });
        if let Some(t) = &mut store.borrow_mut().trans {
            t.idle = Some(job);
        }
    }

    /// A statement of an open transaction.
    pub async fn within(
        self: &Rc<Self>,
        store: &Rc<RefCell<Store>>,
        word: &ClientRequest<'_>,
        body: &Bytes,
        due: Duration,
    ) -> HttpResponse {
        let no = |k: ErrorKind, text: &str| edge::error_response(k, text, Some(WriteOutcome::NotCommitted));
        let Some(mut t) = store.borrow_mut().trans.take() else { return no(ErrorKind::OutOfOrder, "") };
        t.idle = None;
        let put = |t: Trans, out: HttpResponse| {
            store.borrow_mut().trans = Some(t);
            self.watch(store);
            out
        };
        if t.name != word.database {
            return put(t, no(ErrorKind::OutOfOrder, "the open transaction is of another database"));
        }
        if word.verb == Verb::Begin {
            return put(t, no(ErrorKind::OutOfOrder, "a transaction is open"));
        }
        let sets = matches!(word.verb, Verb::Set | Verb::Prepare);
        if sets && !store.borrow().room(&t.name, body.len()) {
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
        let lost = !self.decider.still(&t.target) || !self.decider.open(&t.target);
        if lost || self.decider.stay().is_err() {
            let me = self.clone();
            self.env.spawn(async move { me.roll_back(t).await }).detach();
            return no(ErrorKind::TransactionLost, "the transaction can't go on; nothing of it is kept");
        }
        let key = self.gauges.key(word.database, word.label);
        let asked = self.env.now();
        let head = [(client::ATTEMPT_ID_HEADER, word.attempt_id.to_string()), (backend::EPOCH_HEADER, line(&t.target))];
        let out = self.send(&mut t.slot, &t.target, word.verb, &head, body.clone(), due).await;
        let out = match out {
            Ok(o) => o,
            Err(cut) => {
                self.gauges.record(&key, &t.target.server, pick::Outcome::Error, self.env.now() - asked);
                if word.verb == Verb::Commit && !matches!(cut, Cut::Fault(CallError::NotSent)) {
                    return self.unsure(store);
                }
                return no(ErrorKind::TransactionLost, "the connection broke; nothing of the transaction is kept");
            }
        };
        let signs = self.note(&key, &t.slot, &out, asked);
        if word.verb == Verb::Commit {
            return self.committed(store, t, signs, out, due).await;
        }
        if signs.failed || (word.verb == Verb::Read && !self.decider.still(&t.target)) {
            let me = self.clone();
            self.env.spawn(async move { me.roll_back(t).await }).detach();
            return no(ErrorKind::TransactionLost, "the server failed; nothing of the transaction is kept");
        }
        if sets && out.status < 300 {
            let (id, count) = {
                let s = store.borrow();
                (s.id, s.states.get(&t.name).map_or(0, Vec::len))
            };
            self.keep_state(store, &t.name, word.verb, body);
            t.slot.wore(StateOwner { session: id, name: t.name.clone(), count: count + 1 });
        }
        let ret = self.hand_on(out, &t.target.server, store.borrow().token);
        put(t, ret)
    }

    async fn committed(
        self: &Rc<Self>,
        store: &Rc<RefCell<Store>>,
        mut t: Trans,
        signs: backend::ResponseMetadata,
        out: HttpResponse,
        due: Duration,
    ) -> HttpResponse {
        if out.status < 300 {
            let target = t.target.clone();
            drop(t);
            return self.settle(store, &target, signs.position, out, due).await;
        }
        t.slot.spoil();
        if signs.failed && !signs.not_executed {
            return self.unsure(store);
        }
        let token = store.borrow().token;
        self.hand_on(out, &t.target.server, token).with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted)
    }
}
