use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    position::Position,
    protocol::{Repeatable, ServerOutcome, ServerReply, StatementError, StatementResponse},
};
use futures::{FutureExt, StreamExt, future::LocalBoxFuture, select_biased, stream::FuturesUnordered};

use super::{
    attempt::{AttemptError, RequiredState},
    client_session::{SessionData, response},
};
use crate::{
    execution::{ExecutionContext, increment},
    health::ListKey,
    routing::{Condition, MatchedRoute, RouteDecision, Target},
};

/// How often one read is sent at most.
const MAX_ATTEMPTS: usize = 4;

type ReadResult = (String, Result<ServerReply, AttemptError>);

/// What every send of one read shares.
struct ReadTask {
    route: MatchedRoute,
    list_key: ListKey,
    statement: Repeatable,
    state: RequiredState,
    deadline: Duration,
}

impl ExecutionContext {
    /// A single read. It may be sent to a second server when the first one's answer is late: nothing is changed by it.
    pub(super) async fn protocol_read(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        statement: Repeatable,
    ) -> StatementResponse {
        increment(&self.counters.reads);
        let (name, own) = {
            let s = session.borrow();
            (s.database.clone(), s.last_commit)
        };
        let no = |kind: ErrorKind| response(Err(StatementError::not_committed(kind)), None);
        let (gate, key, due, until) = match self.admit_statement(&name).await {
            Ok(e) => e,
            Err(k) => return no(k),
        };
        let hedge = gate.target_latency.unwrap_or_else(|| self.timeouts(&gate).0) / 2;
        let state = RequiredState::for_statement(&session.borrow(), statement.statement());
        let task = Rc::new(ReadTask { route: gate, list_key: key, statement, state, deadline: due });
        let mut tried: Vec<String> = Vec::new();
        let mut sends: FuturesUnordered<LocalBoxFuture<'static, ReadResult>> = FuturesUnordered::new();
        let mut last = ErrorKind::NoServer;
        loop {
            let now = self.env.now();
            if now >= task.deadline {
                break;
            }
            if sends.is_empty() {
                match self.next_target(&task, own, &tried) {
                    Ok(t) if tried.len() < MAX_ATTEMPTS => {
                        tried.push(t.server.clone());
                        sends.push(self.clone().attempt_read(task.clone(), t).boxed_local());
                    }
                    other => {
                        if let Err(k) = other {
                            last = k;
                        }
                        if now >= until || tried.len() >= MAX_ATTEMPTS {
                            break;
                        }
                        tried.clear();
                        self.wait_for_change().await;
                        continue;
                    }
                }
            }
            let late = self.env.sleep(hedge).fuse();
            let over = self.env.sleep(task.deadline - now).fuse();
            futures::pin_mut!(late, over);
            select_biased! {
                ended = sends.next() => {
                    let Some((_, out)) = ended else { continue };
                    match out {
                        Ok(reply) => {
                            self.finish_in_background(sends);
                            return read_response(reply);
                        }
                        Err(AttemptError::NotRun(k)) => {
                            last = k;
                            if k == ErrorKind::Overloaded {
                                self.wait_for_change().await;
                            }
                        }
                        Err(AttemptError::Failed(k)) => last = k,
                        Err(AttemptError::Unknown) => last = ErrorKind::ServerFailed,
                    }
                }
                _ = late => {
                    if tried.len() < 2
                        && let Ok(t) = self.next_target(&task, own, &tried)
                    {
                        increment(&self.counters.retried);
                        tried.push(t.server.clone());
                        sends.push(self.clone().attempt_read(task.clone(), t).boxed_local());
                    } else if let Some((_, Ok(reply))) = self.env.timeout(task.deadline - now, sends.next()).await.ok().flatten() {
                        self.finish_in_background(sends);
                        return read_response(reply);
                    }
                }
                _ = over => {}
            }
        }
        self.finish_in_background(sends);
        increment(&self.counters.refused);
        let ran = !tried.is_empty() && matches!(last, ErrorKind::ServerFailed | ErrorKind::DeadlineExceeded);
        response(
            Err(if ran {
                StatementError::outcome_unknown(ErrorKind::ServerFailed)
            } else {
                StatementError::not_committed(last)
            }),
            None,
        )
    }

    /// Lets sends that are still out come to their end, so that no connection is cut while its server is at work.
    fn finish_in_background(&self, mut sends: FuturesUnordered<LocalBoxFuture<'static, ReadResult>>) {
        if !sends.is_empty() {
            self.env.spawn(async move { while sends.next().await.is_some() {} }).detach();
        }
    }

    fn next_target(&self, task: &ReadTask, own: Position, tried: &[String]) -> Result<Target, ErrorKind> {
        match self.router.route_confirmed_read(&task.route, &task.list_key, own, tried) {
            RouteDecision::Send(t) => Ok(t),
            RouteDecision::Reject(k) => Err(k),
        }
    }

    async fn attempt_read(self: Rc<Self>, task: Rc<ReadTask>, target: Target) -> ReadResult {
        let server = target.server.clone();
        let out = self.execute_read(&task, &target).await;
        (server, out)
    }

    async fn execute_read(&self, task: &ReadTask, target: &Target) -> Result<ServerReply, AttemptError> {
        let pool = self.pools.get(&target.server).ok_or(AttemptError::NotRun(ErrorKind::NoServer))?;
        let mut slot = pool.acquire(task.deadline).await.map_err(AttemptError::NotRun)?;
        // Time was spent in the inbox: what the send rests on is looked at anew.
        let lead = matches!(target.condition, Condition::PrimaryLease { .. });
        if !self.router.is_usable(target) || (lead && !self.router.holds_lease(target)) {
            return Err(AttemptError::NotRun(ErrorKind::NoPrimary));
        }
        let after = required_position(target);
        self.send_repeatable(&mut slot, &task.list_key, &task.statement, &task.state, after, task.deadline).await
    }
}

/// The position that the server must find in its log.
pub fn required_position(target: &Target) -> Option<Position> {
    match target.condition {
        Condition::AtLeast { position } if position != Position::default() => Some(position),
        _ => None,
    }
}

fn read_response(reply: ServerReply) -> StatementResponse {
    let ServerOutcome::Done(mark) = reply.outcome else {
        return response(Err(StatementError::outcome_unknown(ErrorKind::ServerFailed)), None);
    };
    StatementResponse { rows: reply.rows, ..response(Ok(mark), reply.position) }
}
