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

/// The largest body a server may answer with.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// How many prepared statements a connection keeps before it forgets them all.
const MAX_PREPARED_NAMES: usize = 64;

/// The right to one connection; gives it back when dropped.
pub struct Slot {
    pool: Rc<Pool>,
    connection: Option<PooledConnection>,
    tainted: bool,
}

impl Slot {
    pub(super) fn new(pool: &Rc<Pool>, conn: Option<PooledConnection>) -> Self {
        pool.in_use.set(pool.in_use.get() + 1);
        pool.peak_in_use.set(pool.peak_in_use.get().max(pool.in_use.get()));
        Self { pool: pool.clone(), connection: conn, tainted: false }
    }

    /// The server it leads to.
    pub fn server(&self) -> &str {
        &self.pool.server
    }

    pub(super) async fn connect(&mut self, due: Duration) -> Result<(), ErrorKind> {
        if self.connection.is_some() {
            return Ok(());
        }
        let span = due.saturating_sub(self.pool.env.now());
        if let Some((manner, group)) = &self.pool.protocol {
            let line = manner.open(&self.pool.env, self.pool.addr, group, &self.pool.server);
            if self.pool.connecting_since.get().is_none() {
                self.pool.connecting_since.set(Some(self.pool.env.now()));
            }
            return match self.pool.env.timeout(span.min(self.pool.connect_timeout), line).await {
                Ok(Ok(line)) => {
                    self.pool.connecting_since.set(None);
                    self.pool.opened.set(self.pool.opened.get() + 1);
                    self.connection = Some(PooledConnection {
                        link: ConnectionKind::Protocol(line, AppliedState::default()),
                        state_owner: None,
                        idle_since: Duration::ZERO,
                    });
                    Ok(())
                }
                // One that is there and takes no session lives, and is full.
                Ok(Err(CallError::OutcomeUnknown)) => {
                    self.pool.connecting_since.set(None);
                    Err(ErrorKind::Overloaded)
                }
                _ => Err(ErrorKind::NoServer),
            };
        }
        match Client::connect(&self.pool.env, self.pool.addr, span, MAX_RESPONSE_BYTES).await {
            Ok(line) => {
                self.pool.opened.set(self.pool.opened.get() + 1);
                self.connection = Some(PooledConnection {
                    link: ConnectionKind::Http(line),
                    state_owner: None,
                    idle_since: Duration::ZERO,
                });
                Ok(())
            }
            Err(_) => Err(ErrorKind::NoServer),
        }
    }

    /// Never to be used again, as its clean state can't be shown.
    pub fn taint(&mut self) {
        self.tainted = true;
    }

    /// Attempts one statement; without an answer the connection is never used again.
    pub async fn call(
        &mut self,
        path: &str,
        head: &[(&str, String)],
        body: Bytes,
        due: Duration,
    ) -> Result<HttpResponse, CallError> {
        let span = due.saturating_sub(self.pool.env.now());
        let Some(PooledConnection { link: ConnectionKind::Http(line), .. }) = &mut self.connection else {
            return Err(CallError::NotSent);
        };
        let method = if path.starts_with(backend::POSITION_PATH) { "GET" } else { "POST" };
        // Spoilt until answered: a task dropped half-way leaves a connection in an unknown state.
        let was = std::mem::replace(&mut self.tainted, true);
        let out = line.call(method, path, head, body, span).await?;
        self.tainted = was || out.close;
        Ok(out)
    }

    /// Says one statement in the users' manner; without a whole answer the connection is never used again.
    pub async fn execute(
        &mut self,
        said: &Statement,
        after: Option<Position>,
        due: Duration,
    ) -> Result<ServerReply, CallError> {
        let span = due.saturating_sub(self.pool.env.now());
        let Some(PooledConnection { link: ConnectionKind::Protocol(line, _), .. }) = &mut self.connection else {
            return Err(CallError::NotSent);
        };
        let was = std::mem::replace(&mut self.tainted, true);
        let out =
            self.pool.env.timeout(span, line.execute(said, after)).await.map_err(|_| CallError::OutcomeUnknown)??;
        self.tainted = was;
        Ok(out)
    }

    fn applied_state(&mut self) -> Option<&mut AppliedState> {
        match &mut self.connection {
            Some(PooledConnection { link: ConnectionKind::Protocol(_, w), .. }) => Some(w),
            _ => None,
        }
    }

    /// A statement of the product's own that has to be done before the caller's can be.
    async fn execute_internal(
        &mut self,
        act: StatementKind,
        name: &str,
        text: &str,
        due: Duration,
    ) -> Result<(), CallError> {
        let said = Statement { name: name.into(), text: text.into(), ..Statement::internal(act) };
        match self.execute(&said, None, due).await?.outcome {
            ServerOutcome::Done(_) => Ok(()),
            _ => {
                self.taint();
                Err(CallError::NotSent)
            }
        }
    }

    /// Makes the connection wear exactly these session values, and know one prepared statement if there is one; gives
    /// the name that it has here.
    pub async fn apply_session_values(
        &mut self,
        values: &BTreeMap<String, String>,
        prepared: Option<(&str, bool)>,
        due: Duration,
    ) -> Result<String, CallError> {
        let Some(worn) = self.applied_state() else { return Err(CallError::NotSent) };
        if worn.values.keys().any(|k| !values.contains_key(k)) || worn.prepared_names.len() > MAX_PREPARED_NAMES {
            *worn = AppliedState::default();
            self.execute_internal(StatementKind::ResetSession, "", "", due).await?;
        }
        for (k, v) in values {
            if self.applied_state().is_some_and(|w| w.values.get(k) != Some(v)) {
                self.execute_internal(StatementKind::Set, k, v, due).await?;
                if let Some(w) = self.applied_state() {
                    w.values.insert(k.clone(), v.clone());
                }
            }
        }
        let Some((text, writes)) = prepared else { return Ok(String::new()) };
        let Some(worn) = self.applied_state() else { return Err(CallError::NotSent) };
        if let Some(n) = worn.prepared_names.get(text) {
            return Ok(n.clone());
        }
        let name = format!("n{}", worn.prepared_names.len());
        self.execute_internal(StatementKind::Prepare { writes }, &name, text, due).await?;
        if let Some(w) = self.applied_state() {
            w.prepared_names.insert(text.into(), name.clone());
        }
        Ok(name)
    }

    /// Makes the connection wear exactly this session's state: wiped of any other, replayed where missing.
    pub async fn apply_session_statements(
        &mut self,
        want: &StateOwner,
        state: &[(Verb, Bytes)],
        due: Duration,
    ) -> Result<(), CallError> {
        let has = self.connection.as_ref().and_then(|c| c.state_owner.clone());
        let from = match &has {
            None => 0,
            Some(h) if h.session == want.session && h.database == want.database && h.statements <= want.statements => {
                h.statements
            }
            Some(_) => {
                let out = self.call(backend::RESET_PATH, &[], Bytes::new(), due).await?;
                if out.status >= 300 {
                    self.taint();
                    return Err(CallError::NotSent);
                }
                0
            }
        };
        if let Some(c) = &mut self.connection {
            c.state_owner = None;
        }
        for (verb, body) in &state[from..] {
            let out = self.call(backend::statement_path(*verb), &[], body.clone(), due).await;
            if !matches!(&out, Ok(o) if o.status < 300) {
                self.taint();
                return Err(CallError::NotSent);
            }
        }
        if let Some(c) = &mut self.connection {
            c.state_owner = (want.statements > 0).then(|| want.clone());
        }
        Ok(())
    }

    /// Notes that the connection now wears one more statement of the session.
    pub fn set_state_owner(&mut self, dress: StateOwner) {
        if let Some(c) = &mut self.connection {
            c.state_owner = Some(dress);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.in_use.set(self.pool.in_use.get() - 1);
        let conn = if self.tainted { None } else { self.connection.take() };
        self.pool.release(conn);
    }
}
