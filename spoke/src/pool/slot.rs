use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::{backend, client::Verb},
    http::{CallError, Client, HttpResponse},
    position::Position,
    protocol::{ServerOutcome, ServerReply, Statement, StatementKind},
};
use bytes::Bytes;

use super::{AppliedState, Conn, Link, Pool, StateOwner};

/// The largest body a server may answer with.
const MOST: usize = 8 << 20;

/// How many prepared statements a connection keeps before it forgets them all.
const NAMES: usize = 64;

/// The right to one connection; gives it back when dropped.
pub struct Slot {
    pool: Rc<Pool>,
    conn: Option<Conn>,
    spoilt: bool,
}

impl Slot {
    pub(super) fn new(pool: &Rc<Pool>, conn: Option<Conn>) -> Self {
        pool.used.set(pool.used.get() + 1);
        pool.peak.set(pool.peak.get().max(pool.used.get()));
        Self { pool: pool.clone(), conn, spoilt: false }
    }

    /// The server it leads to.
    pub fn server(&self) -> &str {
        &self.pool.server
    }

    pub(super) async fn connect(&mut self, due: Duration) -> Result<(), ErrorKind> {
        if self.conn.is_some() {
            return Ok(());
        }
        let span = due.saturating_sub(self.pool.env.now());
        if let Some((manner, group)) = &self.pool.speech {
            let line = manner.open(&self.pool.env, self.pool.addr, group, &self.pool.server);
            if self.pool.trying.get().is_none() {
                self.pool.trying.set(Some(self.pool.env.now()));
            }
            return match self.pool.env.timeout(span.min(self.pool.dial), line).await {
                Ok(Ok(line)) => {
                    self.pool.trying.set(None);
                    self.pool.opened.set(self.pool.opened.get() + 1);
                    self.conn = Some(Conn {
                        line: Link::Talk(line, AppliedState::default()),
                        dress: None,
                        resting_since: Duration::ZERO,
                    });
                    Ok(())
                }
                // One that is there and takes no session lives, and is full.
                Ok(Err(CallError::OutcomeUnknown)) => {
                    self.pool.trying.set(None);
                    Err(ErrorKind::Overloaded)
                }
                _ => Err(ErrorKind::NoServer),
            };
        }
        match Client::connect(&self.pool.env, self.pool.addr, span, MOST).await {
            Ok(line) => {
                self.pool.opened.set(self.pool.opened.get() + 1);
                self.conn = Some(Conn { line: Link::Http(line), dress: None, resting_since: Duration::ZERO });
                Ok(())
            }
            Err(_) => Err(ErrorKind::NoServer),
        }
    }

    /// Never to be used again, as its clean state can't be shown.
    pub fn spoil(&mut self) {
        self.spoilt = true;
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
        let Some(Conn { line: Link::Http(line), .. }) = &mut self.conn else { return Err(CallError::NotSent) };
        let method = if path.starts_with(backend::POSITION_PATH) { "GET" } else { "POST" };
        // Spoilt until answered: a task dropped half-way leaves a connection in an unknown state.
        let was = std::mem::replace(&mut self.spoilt, true);
        let out = line.call(method, path, head, body, span).await?;
        self.spoilt = was || out.close;
        Ok(out)
    }

    /// Says one statement in the users' manner; without a whole answer the connection is never used again.
    pub async fn say(
        &mut self,
        said: &Statement,
        after: Option<Position>,
        due: Duration,
    ) -> Result<ServerReply, CallError> {
        let span = due.saturating_sub(self.pool.env.now());
        let Some(Conn { line: Link::Talk(line, _), .. }) = &mut self.conn else { return Err(CallError::NotSent) };
        let was = std::mem::replace(&mut self.spoilt, true);
        let out =
            self.pool.env.timeout(span, line.execute(said, after)).await.map_err(|_| CallError::OutcomeUnknown)??;
        self.spoilt = was;
        Ok(out)
    }

    fn worn(&mut self) -> Option<&mut AppliedState> {
        match &mut self.conn {
            Some(Conn { line: Link::Talk(_, w), .. }) => Some(w),
            _ => None,
        }
    }

    /// A statement of the product's own that has to be done before the caller's can be.
    async fn ready(&mut self, act: StatementKind, name: &str, text: &str, due: Duration) -> Result<(), CallError> {
        let said = Statement { name: name.into(), text: text.into(), ..Statement::internal(act) };
        match self.say(&said, None, due).await?.outcome {
            ServerOutcome::Done(_) => Ok(()),
            _ => {
                self.spoil();
                Err(CallError::NotSent)
            }
        }
    }

    /// Makes the connection wear exactly these session values, and know one prepared statement if there is one; gives
    /// the name that it has here.
    pub async fn apply_session(
        &mut self,
        values: &BTreeMap<String, String>,
        prepared: Option<(&str, bool)>,
        due: Duration,
    ) -> Result<String, CallError> {
        let Some(worn) = self.worn() else { return Err(CallError::NotSent) };
        if worn.values.keys().any(|k| !values.contains_key(k)) || worn.names.len() > NAMES {
            *worn = AppliedState::default();
            self.ready(StatementKind::ResetSession, "", "", due).await?;
        }
        for (k, v) in values {
            if self.worn().is_some_and(|w| w.values.get(k) != Some(v)) {
                self.ready(StatementKind::Set, k, v, due).await?;
                if let Some(w) = self.worn() {
                    w.values.insert(k.clone(), v.clone());
                }
            }
        }
        let Some((text, writes)) = prepared else { return Ok(String::new()) };
        let Some(worn) = self.worn() else { return Err(CallError::NotSent) };
        if let Some(n) = worn.names.get(text) {
            return Ok(n.clone());
        }
        let name = format!("n{}", worn.names.len());
        self.ready(StatementKind::Prepare { writes }, &name, text, due).await?;
        if let Some(w) = self.worn() {
            w.names.insert(text.into(), name.clone());
        }
        Ok(name)
    }

    /// Makes the connection wear exactly this session's state: wiped of any other, replayed where missing.
    pub async fn dress(&mut self, want: &StateOwner, state: &[(Verb, Bytes)], due: Duration) -> Result<(), CallError> {
        let has = self.conn.as_ref().and_then(|c| c.dress.clone());
        let from = match &has {
            None => 0,
            Some(h) if h.session == want.session && h.name == want.name && h.count <= want.count => h.count,
            Some(_) => {
                let out = self.call(backend::RESET_PATH, &[], Bytes::new(), due).await?;
                if out.status >= 300 {
                    self.spoil();
                    return Err(CallError::NotSent);
                }
                0
            }
        };
        if let Some(c) = &mut self.conn {
            c.dress = None;
        }
        for (verb, body) in &state[from..] {
            let out = self.call(backend::statement_path(*verb), &[], body.clone(), due).await;
            if !matches!(&out, Ok(o) if o.status < 300) {
                self.spoil();
                return Err(CallError::NotSent);
            }
        }
        if let Some(c) = &mut self.conn {
            c.dress = (want.count > 0).then(|| want.clone());
        }
        Ok(())
    }

    /// Notes that the connection now wears one more statement of the session.
    pub fn wore(&mut self, dress: StateOwner) {
        if let Some(c) = &mut self.conn {
            c.dress = Some(dress);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.used.set(self.pool.used.get() - 1);
        let conn = if self.spoilt { None } else { self.conn.take() };
        self.pool.back(conn);
    }
}
