use std::cell::RefCell;

use base::{
    Kind,
    edge::{
        self,
        caller::{self, Verb},
    },
    http::Return,
};

use super::{Task, WorkContext, bump, session::Store};
use crate::{decide::Order, pool::StateOwner};

impl WorkContext {
    /// A single read.
    pub async fn read(&self, store: &RefCell<Store>, task: &Task<'_>) -> Return {
        bump(&self.tally.reads);
        self.read_as(store, task).await
    }

    /// A statement that changes nothing kept, and so may be sent again elsewhere.
    pub(super) async fn read_as(&self, store: &RefCell<Store>, task: &Task<'_>) -> Return {
        let Task { gate, key, word, body, due } = *task;
        let token = store.borrow().token;
        let (dress, state) = self.state_of(store, &gate.name);
        let mut tried: Vec<String> = Vec::new();
        let mut last = Kind::NoServer;
        while tried.len() <= super::SENDS && self.env.now() < due {
            if !tried.is_empty() {
                bump(&self.tally.retried);
            }
            let target = match self.decider.read(gate, key, token, &tried) {
                Order::Send(t) => t,
                Order::Return(k) => return edge::refuse(if tried.is_empty() { k } else { last }, "", None),
            };
            let Some(pool) = self.pools.get(&target.server) else {
                tried.push(target.server);
                continue;
            };
            let mut slot = match pool.get(due).await {
                Ok(s) => s,
                Err(k @ (Kind::Full | Kind::Due)) => return edge::refuse(k, "", None),
                Err(k) => {
                    last = k;
                    tried.push(target.server);
                    continue;
                }
            };
            let dressed = self.dress(&mut slot, &dress, &state, due).await.is_ok();
            // Time was spent in the inbox: what the send rests on is looked at anew.
            if !dressed || !self.decider.still(&target) || !self.decider.open(&target) || self.decider.stay().is_err() {
                last = Kind::NoServer;
                tried.push(target.server);
                continue;
            }
            let asked = self.env.now();
            let head = [(caller::SEND, word.send.to_string())];
            let Ok(out) = self.send(&mut slot, &target, word.verb, &head, body.clone(), due).await else {
                self.gauges.record(key, &target.server, pick::Outcome::Error, self.env.now() - asked);
                last = Kind::Failed;
                tried.push(target.server);
                continue;
            };
            let signs = self.note(key, &slot, &out, asked);
            if signs.untaken
                || signs.throttled
                || signs.failed
                || !self.decider.still(&target)
                || !self.decider.borne_out(&target, &signs)
            {
                last = Kind::Failed;
                tried.push(target.server);
                continue;
            }
            if matches!(word.verb, Verb::Set | Verb::Prepare) && out.code < 300 {
                let count = dress.count + 1;
                let id = store.borrow().id;
                slot.wore(StateOwner { session: id, name: gate.name.clone(), count });
            }
            drop(slot);
            return self.hand_on(out, &target.server, token);
        }
        let kind = if self.env.now() >= due { Kind::Due } else { last };
        edge::refuse(kind, "", None)
    }
}
