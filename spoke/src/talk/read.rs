use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    position::Position,
    protocol::{Repeatable, ServerOutcome, ServerReply, StatementError, StatementResponse},
};
use futures::{FutureExt, StreamExt, future::LocalBoxFuture, select_biased, stream::FuturesUnordered};

use super::{
    caller_session::{SessionData, told},
    send::{SendError, SessionState},
};
use crate::{
    decide::{Basis, MatchedRoute, Order, Target},
    gauge::Key,
    work::{WorkContext, bump},
};

/// How often one read is sent at most.
const SENDS: usize = 4;

type Ended = (String, Result<ServerReply, SendError>);

/// What every send of one read shares.
struct ReadTask {
    gate: MatchedRoute,
    key: Key,
    statement: Repeatable,
    state: SessionState,
    due: Duration,
}

impl WorkContext {
    /// A single read. It may be sent to a second server when the first one's answer is late: nothing is changed by it.
    pub(super) async fn read_talk(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        statement: Repeatable,
    ) -> StatementResponse {
        bump(&self.tally.reads);
        let (name, own) = {
            let s = session.borrow();
            (s.name.clone(), s.own)
        };
        let no = |kind: ErrorKind| told(Err(StatementError::not_committed(kind)), None);
        let (gate, key, due, until) = match self.entry(&name).await {
            Ok(e) => e,
            Err(k) => return no(k),
        };
        let hedge = gate.aim.unwrap_or_else(|| self.spans(&gate).0) / 2;
        let state = SessionState::of(&session.borrow(), statement.statement());
        let task = Rc::new(ReadTask { gate, key, statement, state, due });
        let mut tried: Vec<String> = Vec::new();
        let mut sends: FuturesUnordered<LocalBoxFuture<'static, Ended>> = FuturesUnordered::new();
        let mut last = ErrorKind::NoServer;
        loop {
            let now = self.env.now();
            if now >= task.due {
                break;
            }
            if sends.is_empty() {
                match self.next_send(&task, own, &tried) {
                    Ok(t) if tried.len() < SENDS => {
                        tried.push(t.server.clone());
                        sends.push(self.clone().send_read(task.clone(), t).boxed_local());
                    }
                    other => {
                        if let Err(k) = other {
                            last = k;
                        }
                        if now >= until || tried.len() >= SENDS {
                            break;
                        }
                        tried.clear();
                        self.pause().await;
                        continue;
                    }
                }
            }
            let late = self.env.sleep(hedge).fuse();
            let over = self.env.sleep(task.due - now).fuse();
            futures::pin_mut!(late, over);
            select_biased! {
                ended = sends.next() => {
                    let Some((_, out)) = ended else { continue };
                    match out {
                        Ok(reply) => {
                            self.let_end(sends);
                            return answer(reply);
                        }
                        Err(SendError::NotRun(k)) => {
                            last = k;
                            if k == ErrorKind::Overloaded {
                                self.pause().await;
                            }
                        }
                        Err(SendError::Failed(k)) => last = k,
                        Err(SendError::Unknown) => last = ErrorKind::ServerFailed,
                    }
                }
                _ = late => {
                    if tried.len() < 2
                        && let Ok(t) = self.next_send(&task, own, &tried)
                    {
                        bump(&self.tally.retried);
                        tried.push(t.server.clone());
                        sends.push(self.clone().send_read(task.clone(), t).boxed_local());
                    } else if let Some((_, Ok(reply))) = self.env.timeout(task.due - now, sends.next()).await.ok().flatten() {
                        self.let_end(sends);
                        return answer(reply);
                    }
                }
                _ = over => {}
            }
        }
        self.let_end(sends);
        bump(&self.tally.refused);
        let ran = !tried.is_empty() && matches!(last, ErrorKind::ServerFailed | ErrorKind::DeadlineExceeded);
        told(
            Err(if ran {
                StatementError::outcome_unknown(ErrorKind::ServerFailed)
            } else {
                StatementError::not_committed(last)
            }),
            None,
        )
    }

    /// Lets sends that are still out come to their end, so that no connection is cut while its server is at work.
    fn let_end(&self, mut sends: FuturesUnordered<LocalBoxFuture<'static, Ended>>) {
        if !sends.is_empty() {
            self.env.spawn(async move { while sends.next().await.is_some() {} }).detach();
        }
    }

    fn next_send(&self, task: &ReadTask, own: Position, tried: &[String]) -> Result<Target, ErrorKind> {
        match self.decider.spot(&task.gate, &task.key, own, tried) {
            Order::Send(t) => Ok(t),
            Order::Return(k) => Err(k),
        }
    }

    async fn send_read(self: Rc<Self>, task: Rc<ReadTask>, target: Target) -> Ended {
        let server = target.server.clone();
        let out = self.carry_read(&task, &target).await;
        (server, out)
    }

    async fn carry_read(&self, task: &ReadTask, target: &Target) -> Result<ServerReply, SendError> {
        let pool = self.pools.get(&target.server).ok_or(SendError::NotRun(ErrorKind::NoServer))?;
        let mut slot = pool.get(task.due).await.map_err(SendError::NotRun)?;
        // Time was spent in the inbox: what the send rests on is looked at anew.
        let lead = matches!(target.basis, Basis::Leader { .. });
        if !self.decider.open(target) || (lead && !self.decider.leads(target)) {
            return Err(SendError::NotRun(ErrorKind::NoPrimary));
        }
        let after = floor(target);
        self.send_repeatable(&mut slot, &task.key, &task.statement, &task.state, after, task.due).await
    }
}

/// The position that the server must find in its log.
pub fn floor(target: &Target) -> Option<Position> {
    match target.basis {
        Basis::Seen { place } if place != Position::default() => Some(place),
        _ => None,
    }
}

fn answer(reply: ServerReply) -> StatementResponse {
    let ServerOutcome::Done(mark) = reply.outcome else {
        return told(Err(StatementError::outcome_unknown(ErrorKind::ServerFailed)), None);
    };
    StatementResponse { rows: reply.rows, ..told(Ok(mark), reply.position) }
}
