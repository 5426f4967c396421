//! One attempt of a statement at a server, and the timeouts and admission of new statements.

use std::{collections::BTreeMap, time::Duration};

use base::{
    ErrorKind,
    http::CallError,
    position::Position,
    protocol::{Once, RefusalReason, Repeatable, ServerOutcome, ServerReply, Statement},
};
use pick::Outcome;

use super::client_session::SessionData;
use crate::{
    execution::{ExecutionContext, increment},
    health::ListKey,
    pool::Slot,
    routing::MatchedRoute,
};

/// The session state that a connection must have for a statement.
#[derive(Clone, Default)]
pub struct RequiredState {
    values: BTreeMap<String, String>,
    /// The prepared statement to execute: whether it writes, and its text.
    prepared: Option<(bool, String)>,
}

impl RequiredState {
    /// The session's current values, and the prepared statement that `statement` names.
    pub fn for_statement(session: &SessionData, statement: &Statement) -> Self {
        Self { values: session.values.clone(), prepared: session.prepared(statement) }
    }
}

/// Why an attempt brought no usable response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptError {
    /// The statement was not executed.
    NotRun(ErrorKind),
    /// The statement was executed and failed.
    Failed(ErrorKind),
    /// The statement may have been executed.
    Unknown,
}

/// Why an attempt of a statement that may take effect brought no usable response. The statement is returned for another
/// attempt only if it was certainly not executed.
#[derive(Debug)]
pub enum OnceAttemptError {
    /// The statement was not executed.
    NotRun(ErrorKind, Once),
    /// The statement was executed and failed.
    Failed(ErrorKind),
    /// The statement may have been executed.
    Unknown,
}

impl From<OnceAttemptError> for AttemptError {
    fn from(error: OnceAttemptError) -> Self {
        match error {
            OnceAttemptError::NotRun(kind, _) => AttemptError::NotRun(kind),
            OnceAttemptError::Failed(kind) => AttemptError::Failed(kind),
            OnceAttemptError::Unknown => AttemptError::Unknown,
        }
    }
}

impl ExecutionContext {
    /// Attempts a statement that changes nothing.
    pub(super) async fn send_repeatable(
        &self,
        slot: &mut Slot,
        list_key: &ListKey,
        statement: &Repeatable,
        state: &RequiredState,
        after: Option<Position>,
        deadline: Duration,
    ) -> Result<ServerReply, AttemptError> {
        self.send_statement(slot, list_key, statement.statement(), state, after, deadline).await
    }

    /// Attempts a statement that may take effect. Consumes the statement, so that it can't be sent again unless the
    /// error returns it.
    pub(super) async fn send_once(
        &self,
        slot: &mut Slot,
        list_key: &ListKey,
        statement: Once,
        state: &RequiredState,
        deadline: Duration,
    ) -> Result<ServerReply, OnceAttemptError> {
        match self.send_statement(slot, list_key, statement.statement(), state, None, deadline).await {
            Ok(reply) => Ok(reply),
            Err(AttemptError::NotRun(kind)) => Err(OnceAttemptError::NotRun(kind, statement)),
            Err(AttemptError::Failed(kind)) => Err(OnceAttemptError::Failed(kind)),
            Err(AttemptError::Unknown) => Err(OnceAttemptError::Unknown),
        }
    }

    /// Executes one statement on a connection after applying the required state, and records the outcome. Private to
    /// this file: other code uses `send_repeatable` and `send_once`, which keep apart what may be sent again and what
    /// may not.
    async fn send_statement(
        &self,
        slot: &mut Slot,
        list_key: &ListKey,
        statement: &Statement,
        state: &RequiredState,
        after: Option<Position>,
        deadline: Duration,
    ) -> Result<ServerReply, AttemptError> {
        let server = slot.server().to_string();
        let requested_at = self.env.now();
        self.health.record_sent(&server);
        let prepared = state.prepared.as_ref().map(|(writes, text)| (text.as_str(), *writes));
        let no_values = BTreeMap::new();
        let values = if self.router.disabled.no_session_reset { &no_values } else { &state.values };
        let name = slot.apply_session_values(values, prepared, deadline).await.map_err(|_| {
            self.health.record(list_key, &server, Outcome::Error, self.env.now() - requested_at);
            AttemptError::NotRun(ErrorKind::NoServer)
        })?;
        let renamed;
        let statement = if name.is_empty() {
            statement
        } else {
            renamed = Statement { name, ..statement.clone() };
            &renamed
        };
        let result = slot.execute(statement, after, deadline).await;
        let latency = self.env.now() - requested_at;
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => {
                self.health.record(list_key, &server, Outcome::Error, latency);
                return Err(if error == CallError::NotSent {
                    AttemptError::NotRun(ErrorKind::NoServer)
                } else {
                    AttemptError::Unknown
                });
            }
        };
        self.health.record_response(&server, requested_at, reply.position);
        let (outcome, error) = match &reply.outcome {
            ServerOutcome::Executed(_) => (Outcome::Success, None),
            ServerOutcome::Refused(RefusalReason::Busy) => {
                (Outcome::Throttled, Some(AttemptError::NotRun(ErrorKind::Overloaded)))
            }
            ServerOutcome::Refused(RefusalReason::Behind) => {
                (Outcome::Success, Some(AttemptError::NotRun(ErrorKind::NoServer)))
            }
            ServerOutcome::Refused(RefusalReason::NotPrimary) => {
                (Outcome::Success, Some(AttemptError::NotRun(ErrorKind::NoPrimary)))
            }
            ServerOutcome::Refused(RefusalReason::WrongServer | RefusalReason::UnknownPreparedName) => {
                slot.taint();
                (Outcome::Error, Some(AttemptError::NotRun(ErrorKind::NoServer)))
            }
            ServerOutcome::Failed => (Outcome::Error, Some(AttemptError::Failed(ErrorKind::ServerFailed))),
            ServerOutcome::TimedOut => (Outcome::Error, Some(AttemptError::Failed(ErrorKind::DeadlineExceeded))),
        };
        self.health.record(list_key, &server, outcome, latency);
        error.map_or(Ok(reply), Err)
    }

    /// The statement timeout of a route, and how long a statement may wait for a server that accepts it: half of the
    /// timeout, so that a statement outlasts an election and the client still gets its error early.
    pub fn timeouts(&self, route: &MatchedRoute) -> (Duration, Duration) {
        let statement_timeout = route.statement_timeout.unwrap_or_else(|| self.router.default_timeouts().0);
        (statement_timeout, statement_timeout / 2)
    }

    /// Waits for admission of a statement outside a transaction. Returns its route, its list key, its deadline and the
    /// time until which it may be retried.
    pub async fn admit_statement(
        &self,
        database: &str,
    ) -> Result<(MatchedRoute, ListKey, Duration, Duration), ErrorKind> {
        let start = self.env.now();
        let route = self.admitted_route(database).await?;
        let (statement_timeout, max_wait) = self.timeouts(&route);
        Ok((route, self.health.list_key(database, ""), start + statement_timeout, start + max_wait))
    }

    /// The route of a new statement or transaction: the one in force once this node may accept new work. The route that
    /// was in force before the wait may have been replaced in the meantime.
    pub async fn admitted_route(&self, database: &str) -> Result<MatchedRoute, ErrorKind> {
        let max_wait = match self.router.route(database) {
            Ok(route) => self.timeouts(&route).1,
            Err(_) => self.router.bounds.call_timeout(),
        };
        if let Err(kind) = self.wait_for_admission(self.env.now() + max_wait).await {
            increment(&self.counters.refused);
            return Err(kind);
        }
        self.router.route(database)
    }

    /// Waits until this node may accept new work, or until `deadline`.
    pub async fn wait_for_admission(&self, deadline: Duration) -> Result<(), ErrorKind> {
        loop {
            match self.router.check_admission() {
                Err(kind) if self.env.now() >= deadline => return Err(kind),
                Err(_) => self.wait_for_change().await,
                Ok(()) => return Ok(()),
            }
        }
    }

    /// Waits until the view changes, for at most a twentieth of the control nodes' heartbeat interval.
    pub async fn wait_for_change(&self) {
        let seen = self.journal.changed.generation();
        let _ = self
            .env
            .timeout(self.router.bounds.control_heartbeat() / 20, self.journal.changed.changed_since(seen))
            .await;
    }
}
