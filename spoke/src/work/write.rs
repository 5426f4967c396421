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

use super::{Cut, Task, WorkContext, bump, session::Store};
use crate::{
    decide::{Order, Target},
    pool::Slot,
};

impl WorkContext {
    /// A connection to the leader that wears the session's state, under a grant that stands.
    pub(super) async fn lead(&self, store: &RefCell<Store>, task: &Task<'_>) -> Result<(Slot, Target), ErrorKind> {
        let (dress, state) = self.state_of(store, &task.gate.name);
        let mut last = ErrorKind::NoPrimary;
        for _ in 0..super::SENDS {
            if self.env.now() >= task.due {
                return Err(ErrorKind::DeadlineExceeded);
            }
            let target = match self.decider.write(task.gate) {
                Order::Send(t) => t,
                Order::Return(k) => return Err(k),
            };
            let pool = self.pools.get(&target.server).ok_or(ErrorKind::NoServer)?;
            let mut slot = match pool.get(task.due).await {
                Ok(s) => s,
                Err(k @ (ErrorKind::Overloaded | ErrorKind::DeadlineExceeded)) => return Err(k),
                Err(k) => {
                    last = k;
                    continue;
                }
            };
            if self.dress(&mut slot, &dress, &state, task.due).await.is_err() {
                last = ErrorKind::NoServer;
                continue;
            }
            // Time was spent in the inbox: what the send rests on is looked at anew.
            if self.decider.still(&target) && self.decider.open(&target) && self.decider.stay().is_ok() {
                return Ok((slot, target));
            }
            last = ErrorKind::NoPrimary;
        }
        Err(last)
    }

    /// A single write, kept or not by itself.
    pub async fn write(&self, store: &RefCell<Store>, task: &Task<'_>) -> HttpResponse {
        let Task { gate: _, key, word, body, due } = *task;
        bump(&self.tally.writes);
        let no = |k: ErrorKind| edge::error_response(k, "", Some(WriteOutcome::NotCommitted));
        for turn in 0..super::SENDS {
            if turn > 0 {
                bump(&self.tally.retried);
            }
            let (mut slot, target) = match self.lead(store, task).await {
                Ok(both) => both,
                Err(k) => return no(k),
            };
            let asked = self.env.now();
            let head =
                [(client::ATTEMPT_ID_HEADER, word.attempt_id.to_string()), (backend::EPOCH_HEADER, line(&target))];
            let out = match self.send(&mut slot, &target, word.verb, &head, body.clone(), due).await {
                Ok(o) => o,
                Err(cut) => {
                    self.gauges.record(key, &target.server, pick::Outcome::Error, self.env.now() - asked);
                    drop(slot);
                    if matches!(cut, Cut::Fault(CallError::NotSent)) || self.decider.disabled.resend {
                        continue;
                    }
                    // Its bytes may have left: it is never sent again.
                    return self.unsure(store);
                }
            };
            let signs = self.note(key, &slot, &out, asked);
            drop(slot);
            if signs.not_executed {
                return no(if signs.throttled { ErrorKind::Overloaded } else { ErrorKind::NoPrimary });
            }
            if signs.failed {
                return self.unsure(store);
            }
            if out.status >= 300 {
                let token = store.borrow().token;
                return self
                    .hand_on(out, &target.server, token)
                    .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted);
            }
            return self.settle(store, &target, signs.position, out, due).await;
        }
        no(ErrorKind::NoServer)
    }

    /// Answers that what became of a write can't be told; from then on only the leader's word will do.
    pub fn unsure(&self, store: &RefCell<Store>) -> HttpResponse {
        store.borrow_mut().token.outcome_unknown = true;
        let token = store.borrow().token;
        edge::error_response(ErrorKind::OutcomeUnknown, "", Some(WriteOutcome::Unknown))
            .with_header(client::TOKEN_HEADER, token)
    }

    /// Acknowledges a commit once a second server holds it, under the grant it was sent under.
    pub async fn settle(
        &self,
        store: &RefCell<Store>,
        target: &Target,
        place: Option<Position>,
        out: HttpResponse,
        due: Duration,
    ) -> HttpResponse {
        let Some(place) = place else { return self.unsure(store) };
        let held = self.gauges.moved.wait_until(|| {
            if self.decider.second(target, place, false) {
                return Some(true);
            }
            (!self.decider.still(target) || !self.decider.confirmed()).then_some(false)
        });
        // The nearest follower is looked at first; all of them if that brings nothing soon.
        let soon = self.decider.bounds.sampling_interval() / 5;
        let mut ok = self.env.timeout(soon, held).await;
        if ok.is_err() {
            let held = self.gauges.moved.wait_until(|| {
                if self.decider.second(target, place, true) {
                    return Some(true);
                }
                (!self.decider.still(target)).then_some(false)
            });
            ok = self.env.timeout(due.saturating_sub(self.env.now()), held).await;
        }
        // The grant is looked at last: an election held since may not have seen this commit.
        if !matches!(ok, Ok(true)) || !self.decider.still(target) || !self.decider.confirmed() {
            return self.unsure(store);
        }
        store.borrow_mut().token.merge(Token { read_floor: place, outcome_unknown: false });
        let token = store.borrow().token;
        self.hand_on(out, &target.server, token).with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::Committed)
    }
}

/// The line a statement is sent under, for the server to compare with its own.
pub fn line(target: &Target) -> String {
    match target.basis {
        crate::decide::Basis::Leader { line } => line.to_string(),
        _ => String::new(),
    }
}
