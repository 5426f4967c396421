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

/// What a connection has to wear for a statement.
#[derive(Clone, Default)]
pub struct RequiredState {
    values: BTreeMap<String, String>,
    prepared: Option<(bool, String)>,
}

impl RequiredState {
    /// As the session stands.
    pub fn for_statement(session: &SessionData, said: &Statement) -> Self {
        Self { values: session.values.clone(), prepared: session.prepared(said) }
    }
}

/// Why a send brought no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptError {
    /// Nothing of it was run.
    NotRun(ErrorKind),
    /// It was run and failed.
    Failed(ErrorKind),
    /// It may have been run.
    Unknown,
}

/// Why sending a statement that may take effect brought no answer that can be used. Only where it surely was not run does
/// the statement come back to be sent again.
#[derive(Debug)]
pub enum OnceAttemptError {
    NotRun(ErrorKind, Once),
    /// It was run and failed.
    Failed(ErrorKind),
    /// It may have been run.
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
        key: &ListKey,
        statement: &Repeatable,
        state: &RequiredState,
        after: Option<Position>,
        due: Duration,
    ) -> Result<ServerReply, AttemptError> {
        self.send_statement(slot, key, statement.statement(), state, after, due).await
    }

    /// Attempts a statement that may take effect, and takes it away.
    pub(super) async fn send_once(
        &self,
        slot: &mut Slot,
        key: &ListKey,
        statement: Once,
        state: &RequiredState,
        due: Duration,
    ) -> Result<ServerReply, OnceAttemptError> {
        match self.send_statement(slot, key, statement.statement(), state, None, due).await {
            Ok(reply) => Ok(reply),
            Err(AttemptError::NotRun(kind)) => Err(OnceAttemptError::NotRun(kind, statement)),
            Err(AttemptError::Failed(kind)) => Err(OnceAttemptError::Failed(kind)),
            Err(AttemptError::Unknown) => Err(OnceAttemptError::Unknown),
        }
    }

    /// Says one statement to a server on a connection that wears what it must; notes how it went. Private to this file:
    /// others send what may be repeated and what may not in the two ways above.
    async fn send_statement(
        &self,
        slot: &mut Slot,
        key: &ListKey,
        said: &Statement,
        state: &RequiredState,
        after: Option<Position>,
        due: Duration,
    ) -> Result<ServerReply, AttemptError> {
        let server = slot.server().to_string();
        let asked = self.env.now();
        self.health.record_sent(&server);
        let prepared = state.prepared.as_ref().map(|(w, t)| (t.as_str(), *w));
        let plain = BTreeMap::new();
        let values = if self.router.disabled.no_wipe { &plain } else { &state.values };
        let name = slot.apply_session_values(values, prepared, due).await.map_err(|_| {
            self.health.record(key, &server, Outcome::Error, self.env.now() - asked);
            AttemptError::NotRun(ErrorKind::NoServer)
        })?;
        let renamed;
        let said = if name.is_empty() {
            said
        } else {
            renamed = Statement { name, ..said.clone() };
            &renamed
        };
        let out = slot.execute(said, after, due).await;
        let took = self.env.now() - asked;
        let reply = match out {
            Ok(r) => r,
            Err(fault) => {
                self.health.record(key, &server, Outcome::Error, took);
                return Err(if fault == CallError::NotSent {
                    AttemptError::NotRun(ErrorKind::NoServer)
                } else {
                    AttemptError::Unknown
                });
            }
        };
        self.health.record_response(&server, asked, reply.position);
        let (end, miss) = match &reply.outcome {
            ServerOutcome::Done(_) => (Outcome::Good, None),
            ServerOutcome::Refused(RefusalReason::Busy) => {
                (Outcome::Throttled, Some(AttemptError::NotRun(ErrorKind::Overloaded)))
            }
            ServerOutcome::Refused(RefusalReason::Behind) => {
                (Outcome::Good, Some(AttemptError::NotRun(ErrorKind::NoServer)))
            }
            ServerOutcome::Refused(RefusalReason::NotPrimary) => {
                (Outcome::Good, Some(AttemptError::NotRun(ErrorKind::NoPrimary)))
            }
            ServerOutcome::Refused(RefusalReason::WrongServer | RefusalReason::UnknownPreparedName) => {
                slot.taint();
                (Outcome::Error, Some(AttemptError::NotRun(ErrorKind::NoServer)))
            }
            ServerOutcome::Failed => (Outcome::Error, Some(AttemptError::Failed(ErrorKind::ServerFailed))),
            ServerOutcome::Expired => (Outcome::Error, Some(AttemptError::Failed(ErrorKind::DeadlineExceeded))),
        };
        self.health.record(key, &server, end, took);
        miss.map_or(Ok(reply), Err)
    }

    /// How long a statement of a doorway may take, and how long it may wait for somebody to take it: half of that, so that
    /// an election is lived through here. What is given up on is told at once.
    pub fn timeouts(&self, gate: &MatchedRoute) -> (Duration, Duration) {
        let most = gate.statement_timeout.unwrap_or_else(|| self.router.default_timeouts().0);
        (most, most / 2)
    }

    /// The doorway of a statement outside a transaction, until when it may take and until when it may wait.
    pub async fn admit_statement(&self, name: &str) -> Result<(MatchedRoute, ListKey, Duration, Duration), ErrorKind> {
        let start = self.env.now();
        let gate = self.admitted_route(name).await?;
        let (most, patience) = self.timeouts(&gate);
        Ok((gate, self.health.list_key(name, ""), start + most, start + patience))
    }

    /// The doorway that binds a new statement or transaction: the one in force once this node may take new work. What was
    /// in force while it waited for that may have been replaced since.
    pub async fn admitted_route(&self, name: &str) -> Result<MatchedRoute, ErrorKind> {
        let patience = match self.router.route(name) {
            Ok(gate) => self.timeouts(&gate).1,
            Err(_) => self.router.bounds.call_timeout(),
        };
        if let Err(kind) = self.wait_for_admission(self.env.now() + patience).await {
            increment(&self.counters.refused);
            return Err(kind);
        }
        self.router.route(name)
    }

    /// Waits until this node may take new work, up to a time.
    pub async fn wait_for_admission(&self, until: Duration) -> Result<(), ErrorKind> {
        loop {
            match self.router.check_admission() {
                Err(k) if self.env.now() >= until => return Err(k),
                Err(_) => self.wait_for_change().await,
                Ok(()) => return Ok(()),
            }
        }
    }

    /// Rests until something moved or a moment has passed.
    pub async fn wait_for_change(&self) {
        let seen = self.journal.changed.generation();
        let _ = self
            .env
            .timeout(self.router.bounds.control_heartbeat() / 20, self.journal.changed.changed_since(seen))
            .await;
    }
}
