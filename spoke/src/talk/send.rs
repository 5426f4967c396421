use std::{collections::BTreeMap, time::Duration};

use base::{
    ErrorKind,
    http::CallError,
    position::Position,
    protocol::{Once, RefusalReason, Repeatable, ServerOutcome, ServerReply, Statement},
};
use pick::Outcome;

use super::caller_session::SessionData;
use crate::{
    decide::MatchedRoute,
    gauge::Key,
    pool::Slot,
    work::{WorkContext, bump},
};

/// What a connection has to wear for a statement.
#[derive(Clone, Default)]
pub struct SessionState {
    values: BTreeMap<String, String>,
    prepared: Option<(bool, String)>,
}

impl SessionState {
    /// As the session stands.
    pub fn of(session: &SessionData, said: &Statement) -> Self {
        Self { values: session.values.clone(), prepared: session.prepared(said) }
    }
}

/// Why a send brought no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendError {
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
pub enum OnceError {
    NotRun(ErrorKind, Once),
    /// It was run and failed.
    Failed(ErrorKind),
    /// It may have been run.
    Unknown,
}

impl From<OnceError> for SendError {
    fn from(error: OnceError) -> Self {
        match error {
            OnceError::NotRun(kind, _) => SendError::NotRun(kind),
            OnceError::Failed(kind) => SendError::Failed(kind),
            OnceError::Unknown => SendError::Unknown,
        }
    }
}

impl WorkContext {
    /// Attempts a statement that changes nothing.
    pub(super) async fn send_repeatable(
        &self,
        slot: &mut Slot,
        key: &Key,
        statement: &Repeatable,
        state: &SessionState,
        after: Option<Position>,
        due: Duration,
    ) -> Result<ServerReply, SendError> {
        self.send_statement(slot, key, statement.statement(), state, after, due).await
    }

    /// Attempts a statement that may take effect, and takes it away.
    pub(super) async fn send_once(
        &self,
        slot: &mut Slot,
        key: &Key,
        statement: Once,
        state: &SessionState,
        due: Duration,
    ) -> Result<ServerReply, OnceError> {
        match self.send_statement(slot, key, statement.statement(), state, None, due).await {
            Ok(reply) => Ok(reply),
            Err(SendError::NotRun(kind)) => Err(OnceError::NotRun(kind, statement)),
            Err(SendError::Failed(kind)) => Err(OnceError::Failed(kind)),
            Err(SendError::Unknown) => Err(OnceError::Unknown),
        }
    }

    /// Says one statement to a server on a connection that wears what it must; notes how it went. Private to this file:
    /// others send what may be repeated and what may not in the two ways above.
    async fn send_statement(
        &self,
        slot: &mut Slot,
        key: &Key,
        said: &Statement,
        state: &SessionState,
        after: Option<Position>,
        due: Duration,
    ) -> Result<ServerReply, SendError> {
        let server = slot.server().to_string();
        let asked = self.env.now();
        self.gauges.sent(&server);
        let prepared = state.prepared.as_ref().map(|(w, t)| (t.as_str(), *w));
        let plain = BTreeMap::new();
        let values = if self.decider.disabled.no_wipe { &plain } else { &state.values };
        let name = slot.apply_session(values, prepared, due).await.map_err(|_| {
            self.gauges.record(key, &server, Outcome::Error, self.env.now() - asked);
            SendError::NotRun(ErrorKind::NoServer)
        })?;
        let renamed;
        let said = if name.is_empty() {
            said
        } else {
            renamed = Statement { name, ..said.clone() };
            &renamed
        };
        let out = slot.say(said, after, due).await;
        let took = self.env.now() - asked;
        let reply = match out {
            Ok(r) => r,
            Err(fault) => {
                self.gauges.record(key, &server, Outcome::Error, took);
                return Err(if fault == CallError::NotSent {
                    SendError::NotRun(ErrorKind::NoServer)
                } else {
                    SendError::Unknown
                });
            }
        };
        self.gauges.answered(&server, asked, reply.position);
        let (end, miss) = match &reply.outcome {
            ServerOutcome::Done(_) => (Outcome::Good, None),
            ServerOutcome::Refused(RefusalReason::Busy) => {
                (Outcome::Throttled, Some(SendError::NotRun(ErrorKind::Overloaded)))
            }
            ServerOutcome::Refused(RefusalReason::Behind) => {
                (Outcome::Good, Some(SendError::NotRun(ErrorKind::NoServer)))
            }
            ServerOutcome::Refused(RefusalReason::NotPrimary) => {
                (Outcome::Good, Some(SendError::NotRun(ErrorKind::NoPrimary)))
            }
            ServerOutcome::Refused(RefusalReason::WrongServer | RefusalReason::UnknownPreparedName) => {
                slot.spoil();
                (Outcome::Error, Some(SendError::NotRun(ErrorKind::NoServer)))
            }
            ServerOutcome::Failed => (Outcome::Error, Some(SendError::Failed(ErrorKind::ServerFailed))),
            ServerOutcome::Expired => (Outcome::Error, Some(SendError::Failed(ErrorKind::DeadlineExceeded))),
        };
        self.gauges.record(key, &server, end, took);
        miss.map_or(Ok(reply), Err)
    }

    /// How long a statement of a doorway may take, and how long it may wait for somebody to take it: half of that, so that
    /// an election is lived through here. What is given up on is told at once.
    pub fn spans(&self, gate: &MatchedRoute) -> (Duration, Duration) {
        let most = gate.most.unwrap_or_else(|| self.decider.limit().0);
        (most, most / 2)
    }

    /// The doorway of a statement outside a transaction, until when it may take and until when it may wait.
    pub async fn entry(&self, name: &str) -> Result<(MatchedRoute, Key, Duration, Duration), ErrorKind> {
        let start = self.env.now();
        let gate = self.admitted_route(name).await?;
        let (most, patience) = self.spans(&gate);
        Ok((gate, self.gauges.key(name, ""), start + most, start + patience))
    }

    /// The doorway that binds a new statement or transaction: the one in force once this node may take new work. What was
    /// in force while it waited for that may have been replaced since.
    pub async fn admitted_route(&self, name: &str) -> Result<MatchedRoute, ErrorKind> {
        let patience = match self.decider.gate(name) {
            Ok(gate) => self.spans(&gate).1,
            Err(_) => self.decider.bounds.call_timeout(),
        };
        if let Err(kind) = self.admitted(self.env.now() + patience).await {
            bump(&self.tally.refused);
            return Err(kind);
        }
        self.decider.gate(name)
    }

    /// Waits until this node may take new work, up to a time.
    pub async fn admitted(&self, until: Duration) -> Result<(), ErrorKind> {
        loop {
            match self.decider.admit() {
                Err(k) if self.env.now() >= until => return Err(k),
                Err(_) => self.pause().await,
                Ok(()) => return Ok(()),
            }
        }
    }

    /// Rests until something moved or a moment has passed.
    pub async fn pause(&self) {
        let seen = self.journal.bell.generation();
        let _ =
            self.env.timeout(self.decider.bounds.control_heartbeat() / 20, self.journal.bell.changed_since(seen)).await;
    }
}
