//! Single reads of a session, with a second attempt at another server when the first response is slow.

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

/// The most attempts of one read in a row; the count restarts after a wait for an available server.
const MAX_ATTEMPTS: usize = 4;

/// The server of an attempt and its result.
type ReadResult = (String, Result<ServerReply, AttemptError>);

/// What all attempts of one read share.
struct ReadTask {
    route: MatchedRoute,
    list_key: ListKey,
    statement: Repeatable,
    state: RequiredState,
    deadline: Duration,
}

impl ExecutionContext {
    /// Executes a single read. When the first server's response is slow, a second attempt is sent to another server: a
    /// read changes nothing, so it may run twice.
    pub(super) async fn protocol_read(
        self: &Rc<Self>,
        session: &Rc<RefCell<SessionData>>,
        statement: Repeatable,
    ) -> StatementResponse {
        increment(&self.counters.reads);
        let (database, last_commit) = {
            let session = session.borrow();
            (session.database.clone(), session.last_commit)
        };
        let not_committed = |kind: ErrorKind| response(Err(StatementError::not_committed(kind)), None);
        let (route, list_key, deadline, retry_until) = match self.admit_statement(&database).await {
            Ok(admitted) => admitted,
            Err(kind) => return not_committed(kind),
        };
        let hedge_delay = route.target_latency.unwrap_or_else(|| self.timeouts(&route).0) / 2;
        let state = RequiredState::for_statement(&session.borrow(), statement.statement());
        let task = Rc::new(ReadTask { route, list_key, statement, state, deadline });
        let mut tried: Vec<String> = Vec::new();
        let mut attempts: FuturesUnordered<LocalBoxFuture<'static, ReadResult>> = FuturesUnordered::new();
        let mut last_error = ErrorKind::NoServer;
        loop {
            let now = self.env.now();
            if now >= task.deadline {
                break;
            }
            if attempts.is_empty() {
                match self.next_target(&task, last_commit, &tried) {
                    Ok(target) if tried.len() < MAX_ATTEMPTS => {
                        tried.push(target.server.clone());
                        attempts.push(self.clone().attempt_read(task.clone(), target).boxed_local());
                    }
                    other => {
                        if let Err(kind) = other {
                            last_error = kind;
                        }
                        if now >= retry_until || tried.len() >= MAX_ATTEMPTS {
                            break;
                        }
                        tried.clear();
                        self.wait_for_change().await;
                        continue;
                    }
                }
            }
            let slow = self.env.sleep(hedge_delay).fuse();
            let timed_out = self.env.sleep(task.deadline - now).fuse();
            futures::pin_mut!(slow, timed_out);
            select_biased! {
                ended = attempts.next() => {
                    let Some((_, result)) = ended else { continue };
                    match result {
                        Ok(reply) => {
                            self.finish_in_background(attempts);
                            return read_response(reply);
                        }
                        Err(AttemptError::NotRun(kind)) => {
                            last_error = kind;
                            if kind == ErrorKind::Overloaded {
                                self.wait_for_change().await;
                            }
                        }
                        Err(AttemptError::Failed(kind)) => last_error = kind,
                        Err(AttemptError::Unknown) => last_error = ErrorKind::ServerFailed,
                    }
                }
                _ = slow => {
                    if tried.len() < 2
                        && let Ok(target) = self.next_target(&task, last_commit, &tried)
                    {
                        increment(&self.counters.retried);
                        tried.push(target.server.clone());
                        attempts.push(self.clone().attempt_read(task.clone(), target).boxed_local());
                    } else if let Some((_, Ok(reply))) =
                        self.env.timeout(task.deadline - now, attempts.next()).await.ok().flatten()
                    {
                        self.finish_in_background(attempts);
                        return read_response(reply);
                    }
                }
                _ = timed_out => {}
            }
        }
        self.finish_in_background(attempts);
        increment(&self.counters.refused);
        let was_run = !tried.is_empty() && matches!(last_error, ErrorKind::ServerFailed | ErrorKind::DeadlineExceeded);
        response(
            Err(if was_run {
                StatementError::outcome_unknown(ErrorKind::ServerFailed)
            } else {
                StatementError::not_committed(last_error)
            }),
            None,
        )
    }

    /// Lets outstanding attempts finish in the background, so that no connection is closed while its server is
    /// executing a statement.
    fn finish_in_background(&self, mut attempts: FuturesUnordered<LocalBoxFuture<'static, ReadResult>>) {
        if !attempts.is_empty() {
            self.env.spawn(async move { while attempts.next().await.is_some() {} }).detach();
        }
    }

    fn next_target(&self, task: &ReadTask, last_commit: Position, tried: &[String]) -> Result<Target, ErrorKind> {
        match self.router.route_confirmed_read(&task.route, &task.list_key, last_commit, tried) {
            RouteDecision::Send(target) => Ok(target),
            RouteDecision::Reject(kind) => Err(kind),
        }
    }

    async fn attempt_read(self: Rc<Self>, task: Rc<ReadTask>, target: Target) -> ReadResult {
        let server = target.server.clone();
        let result = self.execute_read(&task, &target).await;
        (server, result)
    }

    async fn execute_read(&self, task: &ReadTask, target: &Target) -> Result<ServerReply, AttemptError> {
        let pool = self.pools.get(&target.server).ok_or(AttemptError::NotRun(ErrorKind::NoServer))?;
        let mut slot = pool.acquire(task.deadline).await.map_err(AttemptError::NotRun)?;
        // Time passed while waiting for the connection, so the target is checked again.
        let at_primary = matches!(target.condition, Condition::PrimaryLease { .. });
        if !self.router.is_usable(target) || (at_primary && !self.router.holds_lease(target)) {
            return Err(AttemptError::NotRun(ErrorKind::NoPrimary));
        }
        let after = required_position(target);
        self.send_repeatable(&mut slot, &task.list_key, &task.statement, &task.state, after, task.deadline).await
    }
}

/// The position that the server must find in its log before it executes the statement, if any.
pub fn required_position(target: &Target) -> Option<Position> {
    match target.condition {
        Condition::AtLeast { position } if position != Position::default() => Some(position),
        _ => None,
    }
}

fn read_response(reply: ServerReply) -> StatementResponse {
    let ServerOutcome::Executed(tag) = reply.outcome else {
        return response(Err(StatementError::outcome_unknown(ErrorKind::ServerFailed)), None);
    };
    StatementResponse { rows: reply.rows, ..response(Ok(tag), reply.position) }
}
