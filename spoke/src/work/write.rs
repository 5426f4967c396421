use std::{cell::RefCell, time::Duration};

use base::{
    Kind,
    edge::{
        self, backend,
        caller::{self, Token},
    },
    error::Kept,
    http::{Fault, Return},
    words::Position,
};

use super::{Cut, Task, WorkContext, bump, session::Store};
use crate::{
    decide::{Order, Target},
    pool::Slot,
};

impl WorkContext {
    /// A connection to the leader that wears the session's state, under a grant that stands.
    pub(super) async fn lead(&self, store: &RefCell<Store>, task: &Task<'_>) -> Result<(Slot, Target), Kind> {
        let (dress, state) = self.state_of(store, &task.gate.name);
        let mut last = Kind::NoLeader;
        for _ in 0..super::SENDS {
            if self.env.now() >= task.due {
                return Err(Kind::Due);
            }
            let target = match self.decider.write(task.gate) {
                Order::Send(t) => t,
                Order::Return(k) => return Err(k),
            };
            let pool = self.pools.get(&target.server).ok_or(Kind::NoServer)?;
            let mut slot = match pool.get(task.due).await {
                Ok(s) => s,
                Err(k @ (Kind::Full | Kind::Due)) => return Err(k),
                Err(k) => {
                    last = k;
                    continue;
                }
            };
            if self.dress(&mut slot, &dress, &state, task.due).await.is_err() {
                last = Kind::NoServer;
                continue;
            }
            // Time was spent in the inbox: what the send rests on is looked at anew.
            if self.decider.still(&target) && self.decider.open(&target) && self.decider.stay().is_ok() {
                return Ok((slot, target));
            }
            last = Kind::NoLeader;
        }
        Err(last)
    }

    /// A single write, kept or not by itself.
    pub async fn write(&self, store: &RefCell<Store>, task: &Task<'_>) -> Return {
        let Task { gate: _, key, word, body, due } = *task;
        bump(&self.tally.writes);
        let no = |k: Kind| edge::refuse(k, "", Some(Kept::No));
        for turn in 0..super::SENDS {
            if turn > 0 {
                bump(&self.tally.retried);
            }
            let (mut slot, target) = match self.lead(store, task).await {
                Ok(both) => both,
                Err(k) => return no(k),
            };
            let asked = self.env.now();
            let head = [(caller::SEND, word.send.to_string()), (backend::LINE, line(&target))];
            let out = match self.send(&mut slot, &target, word.verb, &head, body.clone(), due).await {
                Ok(o) => o,
                Err(cut) => {
                    self.gauges.record(key, &target.server, pick::Outcome::Error, self.env.now() - asked);
                    drop(slot);
                    if matches!(cut, Cut::Fault(Fault::Unsent)) || self.decider.disabled.resend {
                        continue;
                    }
                    // Its bytes may have left: it is never sent again.
                    return self.unsure(store);
                }
            };
            let signs = self.note(key, &slot, &out, asked);
            drop(slot);
            if signs.untaken {
                return no(if signs.throttled { Kind::Full } else { Kind::NoLeader });
            }
            if signs.failed {
                return self.unsure(store);
            }
            if out.code >= 300 {
                let token = store.borrow().token;
                return self.hand_on(out, &target.server, token).with(caller::KEPT, Kept::No);
            }
            return self.settle(store, &target, signs.place, out, due).await;
        }
        no(Kind::NoServer)
    }

    /// Answers that what became of a write can't be told; from then on only the leader's word will do.
    pub fn unsure(&self, store: &RefCell<Store>) -> Return {
        store.borrow_mut().token.unsure = true;
        let token = store.borrow().token;
        edge::refuse(Kind::Unknown, "", Some(Kept::Unknown)).with(caller::TOKEN, token)
    }

    /// Acknowledges a commit once a second server holds it, under the grant it was sent under.
    pub async fn settle(
        &self,
        store: &RefCell<Store>,
        target: &Target,
        place: Option<Position>,
        out: Return,
        due: Duration,
    ) -> Return {
        let Some(place) = place else { return self.unsure(store) };
        let held = self.gauges.moved.until(|| {
            if self.decider.second(target, place, false) {
                return Some(true);
            }
            (!self.decider.still(target) || !self.decider.confirmed()).then_some(false)
        });
        // The nearest follower is looked at first; all of them if that brings nothing soon.
        let soon = self.decider.bounds.sample() / 5;
        let mut ok = self.env.within(soon, held).await;
        if ok.is_err() {
            let held = self.gauges.moved.until(|| {
                if self.decider.second(target, place, true) {
                    return Some(true);
                }
                (!self.decider.still(target)).then_some(false)
            });
            ok = self.env.within(due.saturating_sub(self.env.now()), held).await;
        }
        // The grant is looked at last: an election held since may not have seen this commit.
        if !matches!(ok, Ok(true)) || !self.decider.still(target) || !self.decider.confirmed() {
            return self.unsure(store);
        }
        store.borrow_mut().token.join(Token { seen: place, unsure: false });
        let token = store.borrow().token;
        self.hand_on(out, &target.server, token).with(caller::KEPT, Kept::Yes)
    }
}

/// The line a statement is sent under, for the server to compare with its own.
pub fn line(target: &Target) -> String {
    match target.basis {
        crate::decide::Basis::Leader { line } => line.to_string(),
        _ => String::new(),
    }
}
