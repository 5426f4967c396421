//! The right to use one connection of a pool, and the calls on that connection.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::{backend, client::Verb},
    http::{CallError, Client, HttpResponse},
    position::Position,
    protocol::{ServerOutcome, ServerReply, Statement, StatementKind},
};
use bytes::Bytes;

use super::{AppliedState, ConnectionKind, Pool, PooledConnection, StateOwner};

/// The largest body of a server's response.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// How many prepared statements a connection keeps; beyond that the connection is reset before its next statement.
const MAX_PREPARED_NAMES: usize = 64;

/// The right to use one connection. Dropping it returns the connection to the pool, or closes it if it is tainted.
pub struct Slot {
    pool: Rc<Pool>,
    connection: Option<PooledConnection>,
    tainted: bool,
}

impl Slot {
    pub(super) fn new(pool: &Rc<Pool>, connection: Option<PooledConnection>) -> Self {
        pool.in_use.set(pool.in_use.get() + 1);
        pool.peak_in_use.set(pool.peak_in_use.get().max(pool.in_use.get()));
        Self { pool: pool.clone(), connection, tainted: false }
    }

    /// The name of the connection's server.
    pub fn server(&self) -> &str {
        &self.pool.server
    }

    pub(super) async fn connect(&mut self, deadline: Duration) -> Result<(), ErrorKind> {
        if self.connection.is_some() {
            return Ok(());
        }
        let timeout = deadline.saturating_sub(self.pool.env.now());
        if let Some((protocol, group)) = &self.pool.protocol {
            let opening = protocol.open(&self.pool.env, self.pool.addr, group, &self.pool.server);
            if self.pool.connecting_since.get().is_none() {
                self.pool.connecting_since.set(Some(self.pool.env.now()));
            }
            return match self.pool.env.timeout(timeout.min(self.pool.connect_timeout), opening).await {
                Ok(Ok(connection)) => {
                    self.pool.connecting_since.set(None);
                    self.pool.opened.set(self.pool.opened.get() + 1);
                    self.connection = Some(PooledConnection {
                        link: ConnectionKind::Protocol(connection, AppliedState::default()),
                        state_owner: None,
                        idle_since: Duration::ZERO,
                    });
                    Ok(())
                }
                // A server that can be reached but accepts no session is alive, and full.
                Ok(Err(CallError::OutcomeUnknown)) => {
                    self.pool.connecting_since.set(None);
                    Err(ErrorKind::Overloaded)
                }
                _ => Err(ErrorKind::NoServer),
            };
        }
        match Client::connect(&self.pool.env, self.pool.addr, timeout, MAX_RESPONSE_BYTES).await {
            Ok(client) => {
                self.pool.opened.set(self.pool.opened.get() + 1);
                self.connection = Some(PooledConnection {
                    link: ConnectionKind::Http(client),
                    state_owner: None,
                    idle_since: Duration::ZERO,
                });
                Ok(())
            }
            Err(_) => Err(ErrorKind::NoServer),
        }
    }

    /// Marks the connection as not to be reused, because its state is not known to be clean.
    pub fn taint(&mut self) {
        self.tainted = true;
    }

    /// Makes one HTTP request. Without a response the connection is not reused.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request was sent, `OutcomeUnknown` if the server may have executed it.
    pub async fn call(
        &mut self,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
        deadline: Duration,
    ) -> Result<HttpResponse, CallError> {
        let timeout = deadline.saturating_sub(self.pool.env.now());
        let Some(PooledConnection { link: ConnectionKind::Http(client), .. }) = &mut self.connection else {
            return Err(CallError::NotSent);
        };
        let method = if path.starts_with(backend::POSITION_PATH) { "GET" } else { "POST" };
        // Tainted until the response arrives: a task dropped in between leaves the connection in an unknown state.
        let was_tainted = std::mem::replace(&mut self.tainted, true);
        let response = client.call(method, path, headers, body, timeout).await?;
        self.tainted = was_tainted || response.close;
        Ok(response)
    }

    /// Executes one statement on a protocol connection, where given only after the server has reached the position
    /// `after`. Without a complete reply the connection is not reused.
    ///
    /// # Errors
    /// As `call`; a timeout counts as `OutcomeUnknown`.
    pub async fn execute(
        &mut self,
        statement: &Statement,
        after: Option<Position>,
        deadline: Duration,
    ) -> Result<ServerReply, CallError> {
        let timeout = deadline.saturating_sub(self.pool.env.now());
        let Some(PooledConnection { link: ConnectionKind::Protocol(connection, _), .. }) = &mut self.connection else {
            return Err(CallError::NotSent);
        };
        let was_tainted = std::mem::replace(&mut self.tainted, true);
        let reply = self
            .pool
            .env
            .timeout(timeout, connection.execute(statement, after))
            .await
            .map_err(|_| CallError::OutcomeUnknown)??;
        self.tainted = was_tainted;
        Ok(reply)
    }

    fn applied_state(&mut self) -> Option<&mut AppliedState> {
        match &mut self.connection {
            Some(PooledConnection { link: ConnectionKind::Protocol(_, applied), .. }) => Some(applied),
            _ => None,
        }
    }

    /// Executes a statement of the node's own that has to succeed before the client's statement.
    async fn execute_internal(
        &mut self,
        kind: StatementKind,
        name: &str,
        text: &str,
        deadline: Duration,
    ) -> Result<(), CallError> {
        let statement = Statement { name: name.into(), text: text.into(), ..Statement::internal(kind) };
        match self.execute(&statement, None, deadline).await?.outcome {
            ServerOutcome::Executed(_) => Ok(()),
            _ => {
                self.taint();
                Err(CallError::NotSent)
            }
        }
    }

    /// Applies exactly these session values to a protocol connection, and prepares the given statement (its text, and
    /// whether it writes), if any. Returns the prepared statement's name on this connection, empty without one.
    pub async fn apply_session_values(
        &mut self,
        values: &BTreeMap<String, String>,
        prepared: Option<(&str, bool)>,
        deadline: Duration,
    ) -> Result<String, CallError> {
        let Some(applied) = self.applied_state() else { return Err(CallError::NotSent) };
        if applied.values.keys().any(|k| !values.contains_key(k)) || applied.prepared_names.len() > MAX_PREPARED_NAMES {
            *applied = AppliedState::default();
            self.execute_internal(StatementKind::ResetSession, "", "", deadline).await?;
        }
        for (name, value) in values {
            if self.applied_state().is_some_and(|applied| applied.values.get(name) != Some(value)) {
                self.execute_internal(StatementKind::Set, name, value, deadline).await?;
                if let Some(applied) = self.applied_state() {
                    applied.values.insert(name.clone(), value.clone());
                }
            }
        }
        let Some((text, writes)) = prepared else { return Ok(String::new()) };
        let Some(applied) = self.applied_state() else { return Err(CallError::NotSent) };
        if let Some(name) = applied.prepared_names.get(text) {
            return Ok(name.clone());
        }
        let name = format!("n{}", applied.prepared_names.len());
        self.execute_internal(StatementKind::Prepare { writes }, &name, text, deadline).await?;
        if let Some(applied) = self.applied_state() {
            applied.prepared_names.insert(text.into(), name.clone());
        }
        Ok(name)
    }

    /// Applies exactly the state of this session to an HTTP connection: resets it if another state is applied, and
    /// executes the session statements that are missing.
    pub async fn apply_session_statements(
        &mut self,
        owner: &StateOwner,
        statements: &[(Verb, Bytes)],
        deadline: Duration,
    ) -> Result<(), CallError> {
        let current = self.connection.as_ref().and_then(|c| c.state_owner.clone());
        let first_missing = match &current {
            None => 0,
            Some(current)
                if current.session == owner.session
                    && current.database == owner.database
                    && current.statements <= owner.statements =>
            {
                current.statements
            }
            Some(_) => {
                let response = self.call(backend::RESET_PATH, &[], Bytes::new(), deadline).await?;
                if response.status >= 300 {
                    self.taint();
                    return Err(CallError::NotSent);
                }
                0
            }
        };
        if let Some(connection) = &mut self.connection {
            connection.state_owner = None;
        }
        for (verb, body) in &statements[first_missing..] {
            let result = self.call(backend::statement_path(*verb), &[], body.clone(), deadline).await;
            if !matches!(&result, Ok(response) if response.status < 300) {
                self.taint();
                return Err(CallError::NotSent);
            }
        }
        if let Some(connection) = &mut self.connection {
            connection.state_owner = (owner.statements > 0).then(|| owner.clone());
        }
        Ok(())
    }

    /// Records the session whose state the connection has now, after one more of its session statements was executed.
    pub fn set_state_owner(&mut self, owner: StateOwner) {
        if let Some(connection) = &mut self.connection {
            connection.state_owner = Some(owner);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.in_use.set(self.pool.in_use.get() - 1);
        let connection = if self.tainted { None } else { self.connection.take() };
        self.pool.release(connection);
    }
}
