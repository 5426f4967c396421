use std::cell::RefCell;

use base::{
    ErrorKind,
    edge::{
        self,
        client::{self, Verb},
    },
    http::HttpResponse,
};

use super::{Task, WorkContext, bump, session::Store};
use crate::{decide::Order, pool::StateOwner};

impl WorkContext {
    /// A single read.
    pub async fn read(&self, store: &RefCell<Store>, task: &Task<'_>) -> HttpResponse {
        bump(&self.tally.reads);
        self.read_as(store, task).await
    }

    /// A statement that changes nothing kept, and so may be sent again elsewhere.
    pub(super) async fn read_as(&self, store: &RefCell<Store>, task: &Task<'_>) -> HttpResponse {
        let Task { gate, key, word, body, due } = *task;
        let token = store.borrow().token;
        let (dress, state) = self.state_of(store, &gate.name);
        let mut tried: Vec<String> = Vec::new();
        let mut last = ErrorKind::NoServer;
        while tried.len() <= super::SENDS && self.env.now() < due {
            if !tried.is_empty() {
                bump(&self.tally.retried);
            }
            let target = match self.decider.read(gate, key, token, &tried) {
                Order::Send(t) => t,
                Order::Return(k) => return edge::error_response(if tried.is_empty() { k } else { last }, "", None),
            };
            let Some(pool) = self.pools.get(&target.server) else {
                tried.push(target.server);
                continue;
            };
            let mut slot = match pool.get(due).await {
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
            let dressed = self.dress(&mut slot, &dress, &state, due).await.is_ok();
            // Time was spent in the inbox: what the send rests on is looked at anew.
            if !dressed || !self.decider.still(&target) || !self.decider.open(&target) || self.decider.stay().is_err() {
                last = ErrorKind::NoServer;
                tried.push(target.server);
                continue;
            }
            let asked = self.env.now();
            let head = [(client::ATTEMPT_ID_HEADER, word.attempt_id.to_string())];
            let Ok(out) = self.send(&mut slot, &target, word.verb, &head, body.clone(), due).await else {
                self.gauges.record(key, &target.server, pick::Outcome::Error, self.env.now() - asked);
                last = ErrorKind::ServerFailed;
                tried.push(target.server);
                continue;
            };
            let signs = self.note(key, &slot, &out, asked);
            if signs.not_executed
                || signs.throttled
                || signs.failed
                || !self.decider.still(&target)
                || !self.decider.borne_out(&target, &signs)
            {
                last = ErrorKind::ServerFailed;
                tried.push(target.server);
                continue;
            }
            if matches!(word.verb, Verb::Set | Verb::Prepare) && out.status < 300 {
                let count = dress.count + 1;
                let id = store.borrow().id;
                slot.wore(StateOwner { session: id, name: gate.name.clone(), count });
            }
            drop(slot);
            return self.hand_on(out, &target.server, token);
        }
        let kind = if self.env.now() >= due { ErrorKind::DeadlineExceeded } else { last };
        edge::error_response(kind, "", None)
    }
}
